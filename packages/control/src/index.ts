export {createControlReplica, type ControlReplica, type ControlReplicaOptions} from './control-replica.js';
export {type OperatorRouter} from './operator-router.js';
export {type InstanceRow, type StatusReport} from './reports.js';
export {createStateMachine, type StateMachine} from './state-machine.js';
