export {createEntry, type Entry, type EntryOptions} from './entry.js';
export {createStateFollower, type StateFollower} from './state-follower.js';
export {chooseServiceInstance, rankEntries} from './rank-members.js';
export {computeLoadPublishIntervalMs} from './upstream-registry.js';
export {createEngineView} from './upstream-load-tracker.js';
export {estimateBacklog, type Backlog, type Dispatch} from './estimate-backlog.js';
