export {startProcess, type ChildProcess} from './processes.js';
export {startSystem, type System, type SystemOptions} from './system.js';
