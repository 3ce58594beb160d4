export {startProcess, type ChildProcess} from './processes.js';
export {
	startSystem, type System, type SystemOptions, type UpstreamProcess,
} from './system.js';
