import {
	InstanceStage, type HeldInstance, type InstanceNote, type InstanceRecord, type InstanceRegistry, type InstanceRenewal,
} from './types.js';

/** What taking a record did. */
export enum NewsKind {
	/** Older than what is held, or of an instance that has ended. */
	Stale = 'stale',
	/** A later announcement that says the same. */
	Renewed = 'renewed',
	/** Others should know at once. */
	Changed = 'changed',
}

/** A record that ended is kept this long, so that late announcements do not revive it: longer than any is late. */
const forgetGoneMs = 60_000;

/**
Creates an empty registry.

@example
```
const {registry, news} = takeRecord(createInstanceRegistry(), record, {nowMs});
```
*/
export function createInstanceRegistry(): InstanceRegistry {
	return {held: new Map(), revision: 0};
}

/** Less than an order takes, more than a note is on its way: a mark that lasts longer by this much is of another order. */
const loadingSlackMs = 250;

export type TakeOptions = {
	readonly nowMs: number;
	/** How long ago the announcement was made. */
	readonly ageMs?: number;
	readonly loadingLeftMs?: number;
};

/** Takes an announcement: the newest of each instance wins, and an address belongs to the one that started last. */
export function takeRecord(registry: InstanceRegistry, given: InstanceRecord, options: TakeOptions): {
	readonly registry: InstanceRegistry;
	readonly news: NewsKind;
} {
	const {nowMs, ageMs = 0, loadingLeftMs} = options;
	const known = registry.held.get(given.id);
	const record = known === undefined ? given : joinStages(given, known.record);

	if ((known !== undefined && isStale(record, known, {nowMs, loadingLeftMs})) || isSuperseded(registry, record)) {
		return {registry, news: NewsKind.Stale};
	}

	const isSameIncarnation = known?.record.incarnation === record.incarnation;
	const held = new Map(registry.held);
	const loadingDeadlineMs = loadingLeftMs === undefined ? (isSameIncarnation ? known.loadingDeadlineMs : 0) : nowMs + loadingLeftMs;
	const heardAtMs = nowMs - ageMs;
	const isChanged = known === undefined || !isSameIncarnation || describeRecord(known.record) !== describeRecord(record)
		|| (known.loadingDeadlineMs > nowMs) !== (loadingDeadlineMs > nowMs);
	const isNews = isChanged || known.loadingDeadlineMs !== loadingDeadlineMs;
	const revision = isNews ? registry.revision + 1 : known.revision;
	held.set(record.id, {
		record, revision, loadingDeadlineMs, heardAtMs: isSameIncarnation ? Math.max(known.heardAtMs, heardAtMs) : heardAtMs,
	});

	if (isChanged && record.stage !== InstanceStage.Gone) {
		endOthersAt(held, record, revision);
	}

	return {registry: {held, revision: Math.max(registry.revision, revision)}, news: isChanged ? NewsKind.Changed : NewsKind.Renewed};
}

function isStale(record: InstanceRecord, known: HeldInstance, times: Pick<TakeOptions, 'nowMs' | 'loadingLeftMs'>): boolean {
	const order = compareRecords(record, known.record);

	return order < 0 || (order === 0 && !hasNewerModels(record, known.record) && !isLoadingNews(known, times));
}

// A daemon that orders an instance to load other weights knows of them before the next announcement does.
function hasNewerModels({models}: InstanceRecord, known: InstanceRecord): boolean {
	return models.some(({name, version}) => version > (known.models.find(one => one.name === name)?.version ?? 0));
}

// Daemons that tell each other what they were told must not take their own word for news, or every record goes round for good.
function isLoadingNews({loadingDeadlineMs}: HeldInstance, {nowMs, loadingLeftMs}: Pick<TakeOptions, 'nowMs' | 'loadingLeftMs'>): boolean {
	if (loadingLeftMs === undefined) {
		return false;
	}

	const knownLeftMs = Math.max(0, loadingDeadlineMs - nowMs);

	return (knownLeftMs > 0) !== (loadingLeftMs > 0) || loadingLeftMs > knownLeftMs + loadingSlackMs;
}

// An instance that leaves does not come back without a new start, whatever it announces, and whichever daemon heard of it first.
function joinStages(record: InstanceRecord, known: InstanceRecord): InstanceRecord {
	const hasEnded = record.stage === InstanceStage.Gone || known.stage === InstanceStage.Gone;

	if (record.incarnation !== known.incarnation || record.stage === known.stage || hasEnded) {
		return record;
	}

	return {...(record.sequence > known.sequence ? record : known), stage: InstanceStage.Draining};
}

/** Positive where `a` is newer. What has ended stays ended within its incarnation, whatever the numbers. */
function compareRecords(a: InstanceRecord, b: InstanceRecord): number {
	if (a.incarnation !== b.incarnation) {
		return a.incarnation - b.incarnation;
	}

	const isEndedA = a.stage === InstanceStage.Gone;
	const isEndedB = b.stage === InstanceStage.Gone;

	if (isEndedA !== isEndedB) {
		return isEndedA ? 1 : -1;
	}

	return a.sequence - b.sequence || Number(a.stage === InstanceStage.Draining) - Number(b.stage === InstanceStage.Draining);
}

// A late announcement of an instance that crashed must not take the address back from the one that started there since.
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

function endOthersAt(held: Map<string, HeldInstance>, record: InstanceRecord, revision: number): void {
	for (const [id, other] of held) {
		if (id !== record.id && other.record.address === record.address && other.record.stage !== InstanceStage.Gone) {
			held.set(id, {...other, revision, record: {...other.record, stage: InstanceStage.Gone}});
		}
	}
}

function describeRecord({stage, address, service, slots, models}: InstanceRecord): string {
	return JSON.stringify([stage, address, service, slots, models]);
}

/**
Lists all instances that have not ended, with the age of their newest announcement. It stands in for records that say the same again: a
daemon before hundreds of instances is told a few bytes of each.

@example
```
takeRenewals(registry, listRenewals(other, nowMs), nowMs);
```
*/
export function listRenewals(registry: InstanceRegistry, nowMs: number): readonly InstanceRenewal[] {
	return [...registry.held.values()].filter(({record}) => record.stage !== InstanceStage.Gone)
		.map(({record, heardAtMs}) => [record.id, record.incarnation, record.sequence, Math.round(Math.max(0, nowMs - heardAtMs))]);
}

/** Takes word of instances that were heard again; one that is not known, or by another start, is not made known by it. */
export function takeRenewals(registry: InstanceRegistry, renewals: readonly InstanceRenewal[], nowMs: number): InstanceRegistry {
	const held = new Map(registry.held);

	for (const [id, incarnation, sequence, ageMs] of renewals) {
		const known = held.get(id);

		if (known?.record.incarnation === incarnation && nowMs - ageMs > known.heardAtMs) {
			held.set(id, {...known, heardAtMs: nowMs - ageMs, record: {...known.record, sequence: Math.max(sequence, known.record.sequence)}});
		}
	}

	return {...registry, held};
}

/**
Lists what changed after a revision, for a daemon that has everything up to it.

@example
```
listNews(registry, {afterRevision: 17, nowMs}).length;
```
*/
export function listNews(registry: InstanceRegistry, {afterRevision, nowMs}: {readonly afterRevision: number; readonly nowMs: number}): readonly InstanceNote[] {
	return [...registry.held.values()].filter(held => held.revision > afterRevision).map(held => createNote(held, nowMs));
}

/** Creates the note that tells another daemon of a record. */
export function createNote(held: HeldInstance, nowMs: number): InstanceNote {
	return {record: held.record, ageMs: Math.max(0, nowMs - held.heardAtMs), loadingLeftMs: Math.max(0, held.loadingDeadlineMs - nowMs)};
}

/** Forgets records that ended, or fell silent, long ago. */
export function tidyRegistry(registry: InstanceRegistry, nowMs: number): InstanceRegistry {
	const held = new Map([...registry.held].filter(([, one]) => nowMs - one.heardAtMs < forgetGoneMs));

	return held.size === registry.held.size ? registry : {...registry, held};
}

/** Marks an instance as loading other weights, until a deadline at the latest; 0 ends the mark. */
export function setLoading(registry: InstanceRegistry, id: string, loadingDeadlineMs: number): InstanceRegistry {
	const known = registry.held.get(id);

	if (known === undefined) {
		return registry;
	}

	const revision = registry.revision + 1;

	return {held: new Map(registry.held).set(id, {...known, loadingDeadlineMs, revision}), revision};
}

/**
Marks a start of an instance as leaving, as one of its answers said.

@example
```
registry = setLeaving(registry, {id: 'i-1', incarnation: 1_700_000_000_000});
```
*/
export function setLeaving(registry: InstanceRegistry, {id, incarnation}: Pick<InstanceRecord, 'id' | 'incarnation'>): InstanceRegistry {
	const known = registry.held.get(id);

	if (known?.record.incarnation !== incarnation || known.record.stage !== InstanceStage.Ready) {
		return registry;
	}

	const revision = registry.revision + 1;

	return {held: new Map(registry.held).set(id, {...known, revision, record: {...known.record, stage: InstanceStage.Draining}}), revision};
}

/** Sets the version of a model that an instance was seen to hold, ahead of its next announcement. */
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
