export {startProcess, type ChildProcess} from './child-process.js';
export {
	startSystem, type EntryProcess, type System, type SystemOptions, type UpstreamProcess,
} from './system.js';
