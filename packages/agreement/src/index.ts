export {createReplica, type ReplicaOptions} from './create.js';
export {
	countVoters, findMember, isVoter, type Member,
} from './members.js';
export {
	EffectKind, EntryKind, MessageKind, PeerMessageKind, ReplicaRole, type AppendMessage, type Effect, type Entry, type EntryPayload, type ReplicaLog,
	type ClockReading, type Confirmation, type Message, type PeerMessage, type Progress, type ReplicaState, type SnapshotMetadata, type ReplicaTiming,
} from './types.js';
export {isEmptyReplica} from './leader.js';
export {createSnapshotMetadata, isLeaseHeld, stepReplica} from './step.js';
export {getLastIndex, getTermAt} from './log.js';
export {planMembershipChange, type MembershipPlanInput} from './plan-members.js';
export {isReadConfirmed} from './confirm-read.js';
export {findConfirmation} from './confirmation.js';
export {isPeerMessage} from './check-message.js';
