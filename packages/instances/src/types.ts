export enum InstanceStage {
	Ready = 'ready',
	/** Finishes what it has; takes no new work. */
	Draining = 'draining',
	/** Deregistered, or known to have ended. */
	Gone = 'gone',
}

export type ModelState = {readonly name: string; readonly version: number};

/** What an upstream instance says of itself. The newest by incarnation, then sequence, wins everywhere. */
export type InstanceRecord = {
	readonly id: string;
	readonly service: string;
	/** `ip:port`. */
	readonly address: string;
	readonly availabilityZone: string;
	readonly slots: number;
	readonly stage: InstanceStage;
	/** How much longer it is slow after its start, when it said so. */
	readonly coldLeftMs: number;
	readonly models: readonly ModelState[];
	/** Wall clock of its start, in ms. */
	readonly incarnation: number;
	/** Grows with each announcement of one incarnation. */
	readonly sequence: number;
};

/** A record with what this daemon knows of it. */
export type HeldInstance = {
	readonly record: InstanceRecord;
	/** When its newest announcement was made, on this daemon's monotonic clock. */
	readonly heardAtMs: number;
	/** Revision of the registry at which it last changed; announcements that say the same again leave it as it is. */
	readonly revision: number;
	/** An order to load other weights is under way, until then at the latest. */
	readonly loadingDeadlineMs: number;
};

/** All instances that one daemon knows of. Immutable. */
export type InstanceRegistry = {
	readonly held: ReadonlyMap<string, HeldInstance>;
	readonly revision: number;
};

/** A record on its way between daemons; ages are spans, since clocks differ. */
export type InstanceNote = {
	readonly record: InstanceRecord;
	readonly ageMs: number;
	readonly loadingLeftMs: number;
};

/** Word that an instance was heard again and says the same as before. */
export type InstanceRenewal = readonly [id: string, incarnation: number, sequence: number, ageMs: number];
