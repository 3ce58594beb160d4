export {
	createGroupMembership, type FirstGroup, type GroupMembership, type GroupMembershipOptions, type Invitation,
} from './group-membership.js';
export {
	decideFounding, FoundingStepKind, type DecideFoundingInput, type FoundingReport, type FoundingStep,
} from './founding.js';
export {loadIdentity, saveIdentity, type Identity} from './identity.js';
export {createReplicaRunner, type ReplicaRunner, type ReplicaRunnerOptions} from './replica-runner.js';
export {proposeAtLeader} from './leader-client.js';
