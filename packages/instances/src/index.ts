export {
	createInstanceRegistry, createNote, listNews, NewsKind, setLoading, setModelVersion, takeRecord, tidyRegistry, type TakeOptions,
} from './registry.js';
export {
	InstanceStage, type HeldInstance, type InstanceNote, type InstanceRecord, type InstanceRegistry, type ModelState,
} from './types.js';
export {
	DaemonRole, listCards, pickNewsSources, takeCard, type DaemonCard, type DaemonTable, type FleetNews, type Hello, type HelloReply, type ListOptions,
	type NewsCursor, type Published,
} from './daemons.js';
