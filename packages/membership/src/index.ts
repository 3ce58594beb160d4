export {
	createMembership, isAliveInIncarnation, listRecords, listServing, type MembershipOptions,
} from './create.js';
export {stepMembership} from './step.js';
export {
	GossipKind, InputKind, MemberStatus, OutputKind, RecordKind, type Gauge, type GaugeUpdate, type Gossip, type Input, type Membership, type MembershipTiming, type MemberRecord, type Output,
} from './types.js';
export {isNewer} from './records.js';
export {isGossip} from './check-gossip.js';
