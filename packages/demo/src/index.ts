export {startProcess, type ChildProcess} from './child-process.js';
export {
	startSystem, type System, type SystemOptions, type UpstreamProcess,
} from './system.js';
