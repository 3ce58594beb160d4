export enum InstanceStage {
	Ready = 'ready',
	/** Finishes the requests it has and accepts no new ones. */
	Draining = 'draining',
	/** Deregistered, or known to have terminated. */
	Gone = 'gone',
}

/** A model that an instance has loaded, and the version of its weights. */
export type LoadedModel = {readonly name: string; readonly version: number};

/** An announcement of an upstream instance. All daemons keep the one with the highest incarnation, then sequence. */
export type InstanceRecord = {
	readonly id: string;
	readonly service: string;
	/** `ip:port`. */
	readonly address: string;
	readonly availabilityZone: string;
	/** Version of its software; absent where it announced none. */
	readonly softwareVersion?: string;
	readonly slots: number;
	readonly stage: InstanceStage;
	/** How much longer it is cold, as of this announcement; absent where the announcement does not tell. */
	readonly coldLeftMs?: number;
	readonly models: readonly LoadedModel[];
	/** Wall-clock time of its start, in ms. */
	readonly incarnation: number;
	/** Increases with each announcement within an incarnation. */
	readonly sequence: number;
};

/** An instance record in the registry, with local metadata of this daemon. */
export type RegisteredInstance = {
	readonly record: InstanceRecord;
	/** When the newest announcement was made, on the monotonic clock of this daemon. */
	readonly heardAtMs: number;
	/** Registry revision of the last change. An announcement with unchanged content does not advance it. */
	readonly revision: number;
	/** When this daemon first heard of this start, if it knew an earlier one. */
	readonly restartedAtMs?: number;
	/** An order to load other weights is in progress until this time at the latest; 0 or a past time means none. */
	readonly loadingDeadlineMs: number;
};

/** All instances known to one daemon. Immutable. */
export type InstanceRegistry = {
	readonly held: ReadonlyMap<string, RegisteredInstance>;
	readonly revision: number;
};

/** An instance record as sent between daemons. Carries time spans instead of timestamps because clocks differ. */
export type InstanceUpdate = {
	readonly record: InstanceRecord;
	readonly ageMs: number;
	readonly loadingLeftMs: number;
};

/** A heartbeat of an instance whose content has not changed. */
export type InstanceRenewal = readonly [id: string, incarnation: number, sequence: number, ageMs: number];
