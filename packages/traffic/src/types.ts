/** Whether a request may be retried. */
export enum CallKind {
	/** May be executed more than once. */
	Safe = 'safe',
	/** May be executed at most once for each attempt of its caller. */
	Unsafe = 'unsafe',
	/** The response is a stream of events. Handled like `Unsafe` unless the route is resumable. */
	Streaming = 'streaming',
}

export type RouteTarget = {readonly service: string; readonly weight: number};

/** Where requests for a host and path prefix are sent, and how they are handled. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: CallKind;
	/** Maximum time that a request may wait for its response, as set by the operator. */
	readonly timeoutMs: number;
	/** Latency target: a response within this time has the highest value to the caller. */
	readonly targetMs: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly targets: readonly RouteTarget[];
	/** Maximum number of instances that one attempt of a caller may be sent to. */
	readonly maxAttempts: number;
	/** Requires no API key. */
	readonly isPublic: boolean;
	/** Streams may be retried, and are forwarded in complete events only. */
	readonly isResumable: boolean;
	/** Callers abort a stream after a pause of this length, also before the first event; absent if they do not abort. */
	readonly patienceMs: number | undefined;
	/** Latency target for the gap between two events of a stream. */
	readonly targetGapMs: number | undefined;
	/** Regions in which its requests may be served and their data kept; absent if any region will do. */
	readonly allowedRegions?: readonly string[] | undefined;
};

/** Capacity of each engine of a service. */
export type EngineSettings = {
	readonly slots: number;
	readonly cacheTokens: number;
	/** Size of the cached state of one token, which determines how long a transfer takes. */
	readonly bytesPerToken: number;
	readonly linkMegabitsPerSecond: number;
	/** Maximum number of concurrent requests for cache events that one engine accepts. */
	readonly maxEventCalls: number;
};

/** Address and capacity of a store of cached prompts. */
export type StoreSettings = {
	readonly address: string;
	readonly availabilityZone: string;
	readonly capacityTokens: number;
	readonly linkMegabitsPerSecond: number;
	/** Time to first byte of each transfer. */
	readonly firstByteMs: number;
	/** The store never evicts a part on its own. */
	readonly isManaged: boolean;
};

export type Service = {
	readonly name: string;
	readonly healthPath: string;
	/** Maximum number of connections that one instance accepts, from all daemons together. */
	readonly maxConnections: number;
	readonly engine: EngineSettings | undefined;
	readonly store: StoreSettings | undefined;
	/** How an instance that has just started, or otherwise become cold, may be used; absent if it bears the same as any other. */
	readonly cold?: ColdSettings | undefined;
};

export type ColdSettings = {
	/** How long an instance stays cold after a start. */
	readonly durationMs: number;
	/** Requests per second that a cold instance accepts from all daemons together. */
	readonly requestsPerSecond: number;
};

/** Limits on the size of a caller's request and on how slowly it may be sent. */
export type CallerLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

export type Organisation = {
	readonly name: string;
	readonly keys: readonly string[];
	/** Overrides the priority of the route. */
	readonly priority: number | undefined;
	/** Shares no cached parts with other organisations. */
	readonly isIsolated: boolean;
	/** Regions in which its requests may be served and their data kept; absent if any region will do. */
	readonly allowedRegions?: readonly string[] | undefined;
};

/** One version of the traffic configuration: routes, services, limits and organisations. */
export type TrafficConfig = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	readonly limits: CallerLimits;
	/** Empty if requests require no API key. */
	readonly organisations: readonly Organisation[];
};
