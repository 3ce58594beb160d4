import {type Clock} from '@fescuestair/core';
import {
	isInstanceUpdates, isLeaving, type InstanceRecord, type InstanceUpdate,
} from '@fescuestair/instances';
import {type Logger} from '@fescuestair/runtime';
import {type SegmentStore} from '@fescuestair/storage';
import {createRecentDepartures, type RecentDepartures} from './recent-departures.js';

export type DepartureStoreOptions = {
	readonly clock: Pick<Clock, 'readMonotonicMs'>;
	readonly log: Pick<Logger, 'info' | 'warn' | 'error'>;
	readonly store: Pick<SegmentStore, 'load' | 'append' | 'countBytes' | 'close'>;
};

/**
Keeps on the disk which instances are leaving or have left, so that a late announcement of one of them does not bring it back after a loss of all processes. An announcement loses by its
incarnation and sequence number; the records themselves expire.
*/
export type DepartureStore = {
	/** Reads what the process before has saved. Resolves also where the disk fails. */
	readonly load: () => Promise<readonly InstanceUpdate[]>;
	/** Resolves once the departure of this incarnation is on the disk; throws a `DiskError`. Departures that come at once share a write and its sync. */
	readonly save: (record: InstanceRecord) => Promise<void>;
	/** Forgets in memory what was saved of instances that are no longer held. */
	readonly retain: RecentDepartures['retain'];
	readonly countBytes: () => number;
	/** Waits for the write that is under way. */
	readonly stop: () => Promise<void>;
};

type PendingDeparture = {readonly incarnation: number; readonly result: Promise<void>};
type WaitingDeparture = {readonly record: InstanceRecord; readonly resolve: () => void; readonly reject: (error: unknown) => void};

/** Longer than the time until a departure is saved again and that for which the registry keeps a record after it. */
const retentionMs = 120_000;
const maxBatchRecords = 1000;

/**
Creates the store of departures.

@example
```
const departures = createDepartureStore({clock, log, store});
const updates = await departures.load();
await departures.save(record);
```
*/
export function createDepartureStore({clock, log, store}: DepartureStoreOptions): DepartureStore {
	const saved = createRecentDepartures({clock});
	let waiting: readonly WaitingDeparture[] = [];
	/** Departures that wait for the disk, by id of the instance. */
	const pending = new Map<string, PendingDeparture>();
	let underWay: Promise<void> | undefined;

	const getDeadlineMs = () => clock.readMonotonicMs() + retentionMs;

	const writeWaiting = async () => {
		while (waiting.length > 0) {
			const batch = waiting.slice(0, maxBatchRecords);
			waiting = waiting.slice(maxBatchRecords);

			try {
				await store.append(batch.map(({record}): InstanceUpdate => ({record, ageMs: 0, loadingLeftMs: 0})), getDeadlineMs());

				for (const {record, resolve} of batch) {
					saved.record(record);
					resolve();
				}
			} catch (error) {
				log.warn('departures of instances cannot be saved', {instances: batch.length, reason: String(error)});

				for (const {reject} of batch) {
					reject(error);
				}
			}
		}

		underWay = undefined;
	};

	return {
		async load() {
			try {
				// Without a clock that survives the process, each value counts from now on again.
				const values = await store.load(getDeadlineMs);
				const updates = values.flatMap(value => isInstanceUpdates(value) ? value : []).filter(({record}) => isLeaving(record));

				for (const {record} of updates) {
					saved.record(record);
				}

				log.info('departures of instances were loaded', {departures: updates.length, unknownValues: values.filter(value => !isInstanceUpdates(value)).length});

				return updates;
			} catch (error) {
				log.error('departures of instances cannot be loaded', {reason: String(error)});

				return [];
			}
		},
		async save(record) {
			if (saved.has(record)) {
				return;
			}

			const known = pending.get(record.id);

			if (known?.incarnation === record.incarnation) {
				return known.result;
			}

			const result = new Promise<void>((resolve, reject) => {
				waiting = [...waiting, {record, resolve, reject}];
			});
			pending.set(record.id, {incarnation: record.incarnation, result});
			underWay ??= writeWaiting();

			try {
				await result;
			} finally {
				if (pending.get(record.id)?.result === result) {
					pending.delete(record.id);
				}
			}
		},
		retain: saved.retain,
		countBytes: store.countBytes,
		async stop() {
			await underWay;
			await store.close();
		},
	};
}
