/** What may be done with a request again. */
export enum CallKind {
	/** May run more than once. */
	Safe = 'safe',
	/** May run at most once for each attempt of its caller. */
	Unsafe = 'unsafe',
	/** Answers with events; as `Unsafe` unless its route is resumable. */
	Streaming = 'streaming',
}

export type RouteTarget = {readonly service: string; readonly weight: number};

/** Where requests of one host and path prefix go, and what may be done with them. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: CallKind;
	/** Longest time that the operator wants a request kept waiting. */
	readonly timeoutMs: number;
	/** An answer within this time is worth most to the caller. */
	readonly targetMs: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly targets: readonly RouteTarget[];
	/** Instances that one attempt of a caller may be sent to. */
	readonly maxAttempts: number;
	/** Needs no key. */
	readonly isPublic: boolean;
	readonly isResumable: boolean;
	/** Callers of a stream leave after so long a pause, also before the first event; absent where they do not. */
	readonly patienceMs: number | undefined;
	/** Longest pause between events for which a stream is on time. */
	readonly targetGapMs: number | undefined;
};

/** Figures of the engines behind a service. */
export type EngineFigures = {
	readonly slots: number;
	readonly cacheTokens: number;
	readonly bytesPerToken: number;
	readonly linkMegabitsPerSecond: number;
	/** Calls for cache events that one engine holds at once. */
	readonly maxEventCalls: number;
};

/** Figures of a store of cached prompts. */
export type StoreFigures = {
	readonly address: string;
	readonly availabilityZone: string;
	readonly capacityTokens: number;
	readonly linkMegabitsPerSecond: number;
	/** What each transfer waits before its first byte. */
	readonly firstByteMs: number;
	/** Never drops a part on its own. */
	readonly isManaged: boolean;
};

export type Service = {
	readonly name: string;
	readonly healthPath: string;
	/** Connections that one instance accepts from all daemons together. */
	readonly maxConnections: number;
	readonly engine: EngineFigures | undefined;
	readonly store: StoreFigures | undefined;
};

/** Bounds on what a caller may send, and how slowly. */
export type CallerLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

export type Organisation = {
	readonly name: string;
	readonly keys: readonly string[];
	/** Goes before the priority of the route. */
	readonly priority: number | undefined;
	/** Shares no cached part with any other organisation. */
	readonly isIsolated: boolean;
};

/** One version of the configuration of opaque requests. */
export type TrafficConfig = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	readonly limits: CallerLimits;
	/** Empty where requests need no key. */
	readonly organisations: readonly Organisation[];
};
