export {createEntry, type Entry, type EntryOptions} from './entry.js';
export {createStateFollower, type StateFollower} from './state-follower.js';
export {chooseServiceUpstream, rankEntries} from './choose-address.js';
