export {
	createInstanceRegistry, createInstanceUpdate, listUpdates, listRenewals, setDraining, MergeOutcome, setLoading, setModelVersion, mergeInstanceRecord, applyRenewals, expireInstances,
	type MergeOptions,
} from './registry.js';
export {
	InstanceStage, type RegisteredInstance, type InstanceUpdate, type InstanceRecord, type InstanceRegistry, type InstanceRenewal, type LoadedModel,
} from './types.js';
export {
	DaemonRole, HelloKind, listDaemons, mergeDaemonRecord, type DaemonRecord, type DaemonTable, type FleetSummary, type GatewayLeaving, type GatewayPeers, type Hello,
	type HelloReply, type InstanceUpdateBatch,
	type ListDaemonsOptions, type UpdateCursor, type PublishedSnapshot, unknownTargetAgeMs,
} from './daemons.js';
export {
	createGatewayDirectory, getHomeListVersion, listGateways, listHomeGatewayAddresses, createHomeList, pickRandomDaemons, recordHomeHello, recordHomeList, expireGateways,
	type DirectoryExpiry, type GatewayDirectory, type HomeList,
} from './directory.js';
export {countEnoughGateways, describePeers, listGatewaysForCallers} from './gateway-peers.js';
export {isLeaving} from './is-leaving.js';
export {pickHomes, pickRecordKeepers, type HomeCandidate} from './pick-homes.js';
export {
	sumShares, sumWork, type InstanceShare, type LoadUpdate, type PaceNote, type WorkDelta,
} from './load-update.js';
export {
	createLoadRelay, hasPendingLoad, relayLoads, sharesIntervalMs, maxSharesAgeMs, addGatewayUpdate, addRelayUpdate, type LoadRelay, type RelayRound,
} from './load-relay.js';
export {
	maxSlowdown, isHello, isHelloReply, isInstanceRecord, isInstanceUpdates, isLoadUpdate, isPublishedSnapshot,
} from './message-guards.js';
export {
	isRequestLimitNote, isRequestLimitNotes, requestLimitNoteGuards, type RequestLimitNote,
} from './request-limit-note.js';
