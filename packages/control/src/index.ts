export {createControl, type Control, type ControlOptions} from './control.js';
export {type OperatorRouter} from './operator-router.js';
export {type InstanceRow, type StatusReport} from './reports.js';
export {createStateHost, type StateHost} from './state-host.js';
