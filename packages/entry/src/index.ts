export {createEntry, type Entry, type EntryOptions} from './entry.js';
export {createStateFollower, type StateFollower} from './state-follower.js';
export {chooseServiceInstance, rankEntries} from './choose-address.js';
export {computeLoadPublishIntervalMs} from './upstream-registry.js';
export {createEngineView} from './engine-table.js';
export {estimateBacklog, type Backlog, type Dispatch} from './own-dispatches.js';
