export {createProgram} from './program.js';
export {ExitCode} from './exit-codes.js';
