export {
	createInstanceRegistry, createNote, listNews, listRenewals, setLeaving, NewsKind, setLoading, setModelVersion, takeRecord, takeRenewals, tidyRegistry,
	type MergeOptions,
} from './registry.js';
export {
	InstanceStage, type HeldInstance, type InstanceNote, type InstanceRecord, type InstanceRegistry, type InstanceRenewal, type ModelState,
} from './types.js';
export {
	DaemonRole, GreetingRole, listCards, takeCard, type DaemonCard, type DaemonTable, type FleetNews, type Hello, type HelloReply, type InstanceUpdateBatch,
	type ListDaemonsOptions, type NewsCursor, type Published,
} from './daemons.js';
export {
	createGatewayDirectory, getHeldList, listGateways, listHomeAddresses, listHomes, pickCards, takeHomeHello, takeHomeList, tidyDirectory,
	type DirectoryExpiry, type GatewayDirectory, type HomeList,
} from './directory.js';
export {pickHomes, type HomeCandidate} from './pick-homes.js';
export {
	sumShares, sumWork, type InstanceShare, type LoadNote, type WorkShare,
} from './load-note.js';
export {
	createLoadRelay, hasLoadNews, relayLoads, sharesMs, staleSharesMs, takeGatewayNote, takeRelayNote, type LoadRelay, type RelayRound,
} from './load-relay.js';
export {
	isHello, isHelloReply, isInstanceNotes, isLoadNote, isPublished,
} from './message-guards.js';
