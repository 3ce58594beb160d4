export {
	createGroupDoor, type FirstGroup, type GroupDoor, type GroupDoorOptions,
} from './group-door.js';
export {loadIdentity, saveIdentity, type Identity} from './identity.js';
export {createReplicaRunner, type ReplicaRunner, type ReplicaRunnerOptions} from './replica-runner.js';
export {proposeAtLeader} from './leader-client.js';
