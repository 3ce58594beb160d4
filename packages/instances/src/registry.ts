import {
	InstanceStage, type RegisteredInstance, type InstanceUpdate, type InstanceRecord, type InstanceRegistry, type InstanceRenewal,
} from './types.js';

/** Outcome of merging an announcement into the registry. */
export enum MergeOutcome {
	/** Older than the held record, or of an instance that has terminated; ignored. */
	Stale = 'stale',
	/** A newer announcement with the same content. */
	Renewed = 'renewed',
	/** The content changed; other daemons should be notified at once. */
	Changed = 'changed',
}

/**
Records are kept this long after the last announcement. Longer than any announcement is delayed, so that a late one does not revive an
instance that is gone.
*/
const recordRetentionMs = 60_000;

/**
Creates an empty registry.

@example
```
const {registry, news} = mergeInstanceRecord(createInstanceRegistry(), record, {nowMs});
```
*/
export function createInstanceRegistry(): InstanceRegistry {
	return {held: new Map(), revision: 0};
}

/**
A loading deadline that is later than the known one by more than this belongs to another order. Longer than the transit time of an update,
shorter than the duration of an order.
*/
const loadingToleranceMs = 250;
/** An instance that is cold for longer than was known by less than this announces the same as before. */
const coldToleranceMs = 250;

export type MergeOptions = {
	readonly nowMs: number;
	/** How long ago the announcement was made. */
	readonly ageMs?: number;
	/** Time left to the loading deadline that the sender of an update knows; absent in an instance's own announcement. */
	readonly loadingLeftMs?: number;
};

/** Merges an announcement: the newest record of each instance wins, and an address belongs to the instance that started last. */
export function mergeInstanceRecord(registry: InstanceRegistry, announced: InstanceRecord, options: MergeOptions): {
	readonly registry: InstanceRegistry;
	readonly news: MergeOutcome;
} {
	const {nowMs, ageMs = 0, loadingLeftMs} = options;
	const known = registry.held.get(announced.id);
	const record = known === undefined ? announced : mergeModels(mergeStages(announced, known.record), known.record);

	if ((known !== undefined && isStale(record, known, {nowMs, loadingLeftMs})) || isSuperseded(registry, record)) {
		return {registry, news: MergeOutcome.Stale};
	}

	const isSameIncarnation = known?.record.incarnation === record.incarnation;
	const held = new Map(registry.held);
	const loadingDeadlineMs = loadingLeftMs === undefined ? (isSameIncarnation ? known.loadingDeadlineMs : 0) : nowMs + loadingLeftMs;
	const heardAtMs = nowMs - ageMs;
	const isChanged = known === undefined || !isSameIncarnation || hasBecomeColder(record, known, heardAtMs) || encodeComparedFields(known.record) !== encodeComparedFields(record)
		|| (known.loadingDeadlineMs > nowMs) !== (loadingDeadlineMs > nowMs);
	const hasNewRevision = isChanged || known.loadingDeadlineMs !== loadingDeadlineMs;
	const revision = hasNewRevision ? registry.revision + 1 : known.revision;
	held.set(record.id, {
		record, revision, loadingDeadlineMs, heardAtMs: isSameIncarnation ? Math.max(known.heardAtMs, heardAtMs) : heardAtMs,
		...findRestart(known, {isSameIncarnation, heardAtMs}),
	});

	if (isChanged && record.stage !== InstanceStage.Gone) {
		setOthersGone(held, record, revision);
	}

	return {registry: {held, revision: Math.max(registry.revision, revision)}, news: isChanged ? MergeOutcome.Changed : MergeOutcome.Renewed};
}

// Daemons that send requests have to know at once that an instance bears less, and for how much longer.
function hasBecomeColder({coldLeftMs = 0}: InstanceRecord, known: RegisteredInstance, heardAtMs: number): boolean {
	return coldLeftMs > 0 && heardAtMs + coldLeftMs > known.heardAtMs + (known.record.coldLeftMs ?? 0) + coldToleranceMs;
}

function findRestart(known: RegisteredInstance | undefined, {isSameIncarnation, heardAtMs}: {
	readonly isSameIncarnation: boolean; readonly heardAtMs: number;
}): Pick<RegisteredInstance, 'restartedAtMs'> {
	const restartedAtMs = isSameIncarnation ? known?.restartedAtMs : (known === undefined ? undefined : heardAtMs);

	return restartedAtMs === undefined ? {} : {restartedAtMs};
}

function isStale(record: InstanceRecord, known: RegisteredInstance, times: Pick<MergeOptions, 'nowMs' | 'loadingLeftMs'>): boolean {
	const comparison = compareRecords(record, known.record);

	return comparison < 0 || (comparison === 0 && !hasNewerModelVersion(record, known.record) && !isLoadingChange(known, times));
}

// The daemon that ordered an instance to load other weights knows the new version before the instance announces it.
function hasNewerModelVersion({models}: InstanceRecord, known: InstanceRecord): boolean {
	return models.some(({name, version}) => version > (known.models.find(one => one.name === name)?.version ?? 0));
}

// Daemons forward updates to each other. An update that returns to its sender must not count as a change, or it would circulate forever.
function isLoadingChange({loadingDeadlineMs}: RegisteredInstance, {nowMs, loadingLeftMs}: Pick<MergeOptions, 'nowMs' | 'loadingLeftMs'>): boolean {
	if (loadingLeftMs === undefined) {
		return false;
	}

	const knownLoadingLeftMs = Math.max(0, loadingDeadlineMs - nowMs);

	return (knownLoadingLeftMs > 0) !== (loadingLeftMs > 0) || loadingLeftMs > knownLoadingLeftMs + loadingToleranceMs;
}

// An instance restarts with the weights that it had, so an announcement that names no models says nothing new about them.
function mergeModels(record: InstanceRecord, {models, service}: InstanceRecord): InstanceRecord {
	return record.models.length === 0 && record.service === service ? {...record, models} : record;
}

// A draining instance stays draining until it restarts, whatever it announces and in whichever order daemons learn of it.
function mergeStages(record: InstanceRecord, known: InstanceRecord): InstanceRecord {
	const isEitherGone = record.stage === InstanceStage.Gone || known.stage === InstanceStage.Gone;

	if (record.incarnation !== known.incarnation || record.stage === known.stage || isEitherGone) {
		return record;
	}

	return {...(record.sequence > known.sequence ? record : known), stage: InstanceStage.Draining};
}

/** Returns a positive number if `a` is newer. Within an incarnation, `Gone` is final regardless of the sequence numbers. */
function compareRecords(a: InstanceRecord, b: InstanceRecord): number {
	if (a.incarnation !== b.incarnation) {
		return a.incarnation - b.incarnation;
	}

	const isGoneA = a.stage === InstanceStage.Gone;
	const isGoneB = b.stage === InstanceStage.Gone;

	if (isGoneA !== isGoneB) {
		return isGoneA ? 1 : -1;
	}

	return a.sequence - b.sequence || Number(a.stage === InstanceStage.Draining) - Number(b.stage === InstanceStage.Draining);
}

// A late announcement of a crashed instance must not take the address back from the instance that started there since.
function isSuperseded(registry: InstanceRegistry, record: InstanceRecord): boolean {
	if (record.stage === InstanceStage.Gone) {
		return false;
	}

	for (const {record: other} of registry.held.values()) {
		if (other.address === record.address && other.id !== record.id && other.incarnation > record.incarnation && other.stage !== InstanceStage.Gone) {
			return true;
		}
	}

	return false;
}

function setOthersGone(held: Map<string, RegisteredInstance>, record: InstanceRecord, revision: number): void {
	for (const [id, other] of held) {
		if (id !== record.id && other.record.address === record.address && other.record.stage !== InstanceStage.Gone) {
			held.set(id, {...other, revision, record: {...other.record, stage: InstanceStage.Gone}});
		}
	}
}

function encodeComparedFields({stage, address, service, slots, models, softwareVersion}: InstanceRecord): string {
	return JSON.stringify([stage, address, service, slots, models, softwareVersion]);
}

/**
Lists all instances that are not gone, with the age of their newest announcement. Sent instead of unchanged records: with hundreds of
instances, a daemon receives a few bytes for each.

@example
```
applyRenewals(registry, listRenewals(other, nowMs), nowMs);
```
*/
export function listRenewals(registry: InstanceRegistry, nowMs: number): readonly InstanceRenewal[] {
	return [...registry.held.values()].filter(({record}) => record.stage !== InstanceStage.Gone)
		.map(({record, heardAtMs}) => [record.id, record.incarnation, record.sequence, Math.round(Math.max(0, nowMs - heardAtMs))]);
}

/** Updates the age of instances that announced themselves again. Unknown instances, and those known by another incarnation, are ignored. */
export function applyRenewals(registry: InstanceRegistry, renewals: readonly InstanceRenewal[], nowMs: number): InstanceRegistry {
	const held = new Map(registry.held);

	for (const [id, incarnation, sequence, ageMs] of renewals) {
		const known = held.get(id);

		if (known?.record.incarnation === incarnation && nowMs - ageMs > known.heardAtMs) {
			const {record} = known;
			// A renewal is sent for an announcement with the same content: what it names to be left has passed meanwhile.
			const coldLeftMs = record.coldLeftMs && Math.max(0, record.coldLeftMs - (nowMs - ageMs - known.heardAtMs));
			held.set(id, {
				...known, heardAtMs: nowMs - ageMs, record: {...record, ...(coldLeftMs !== undefined && {coldLeftMs}), sequence: Math.max(sequence, record.sequence)},
			});
		}
	}

	return {...registry, held};
}

/**
Lists the changes after a revision, for a daemon that has all changes up to it.

@example
```
listUpdates(registry, {afterRevision: 17, nowMs}).length;
```
*/
export function listUpdates(registry: InstanceRegistry, {afterRevision, nowMs}: {readonly afterRevision: number; readonly nowMs: number}): readonly InstanceUpdate[] {
	return [...registry.held.values()].filter(held => held.revision > afterRevision).map(held => createInstanceUpdate(held, nowMs));
}

/** Creates the update that is sent to other daemons for an instance. */
export function createInstanceUpdate(held: RegisteredInstance, nowMs: number): InstanceUpdate {
	return {record: held.record, ageMs: Math.max(0, nowMs - held.heardAtMs), loadingLeftMs: Math.max(0, held.loadingDeadlineMs - nowMs)};
}

/** Removes records, gone or not, whose last announcement is older than the retention period. */
export function expireInstances(registry: InstanceRegistry, nowMs: number): InstanceRegistry {
	const held = new Map([...registry.held].filter(([, one]) => nowMs - one.heardAtMs < recordRetentionMs));

	return held.size === registry.held.size ? registry : {...registry, held};
}

/** Marks an instance as loading other weights until a deadline at the latest; 0 removes the mark. */
export function setLoading(registry: InstanceRegistry, id: string, loadingDeadlineMs: number): InstanceRegistry {
	const known = registry.held.get(id);

	if (known === undefined) {
		return registry;
	}

	const revision = registry.revision + 1;

	return {held: new Map(registry.held).set(id, {...known, loadingDeadlineMs, revision}), revision};
}

/**
Marks one incarnation of an instance as draining, after one of its responses announced its shutdown.

@example
```
registry = setDraining(registry, {id: 'i-1', incarnation: 1_700_000_000_000});
```
*/
export function setDraining(registry: InstanceRegistry, {id, incarnation}: Pick<InstanceRecord, 'id' | 'incarnation'>): InstanceRegistry {
	const known = registry.held.get(id);

	if (known?.record.incarnation !== incarnation || known.record.stage !== InstanceStage.Ready) {
		return registry;
	}

	const revision = registry.revision + 1;

	return {held: new Map(registry.held).set(id, {...known, revision, record: {...known.record, stage: InstanceStage.Draining}}), revision};
}

/** Sets the weight version that an instance was observed to have loaded, ahead of its next announcement. */
export function setModelVersion(registry: InstanceRegistry, id: string, model: ModelVersion): InstanceRegistry {
	const known = registry.held.get(id);

	if (known === undefined) {
		return registry;
	}

	const models = known.record.models.map(one => one.name === model.name ? {...one, version: model.version} : one);
	const revision = registry.revision + 1;

	return {held: new Map(registry.held).set(id, {...known, revision, record: {...known.record, models}}), revision};
}

type ModelVersion = {readonly name: string; readonly version: number};
