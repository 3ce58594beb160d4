export {
	createGroupMembership, type FirstGroup, type GroupMembership, type GroupMembershipOptions,
} from './group-membership.js';
export {loadIdentity, saveIdentity, type Identity} from './identity.js';
export {createReplicaRunner, type ReplicaRunner, type ReplicaRunnerOptions} from './replica-runner.js';
export {proposeAtLeader} from './leader-client.js';
