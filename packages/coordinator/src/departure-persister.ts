import {BaseError, type Clock} from '@fescuestair/core';
import {type InstanceUpdate} from '@fescuestair/instances';
import {callAndValidate, LinkMessageKind, ReplyError} from '@fescuestair/protocol';
import {type Logger, type PrometheusMetrics} from '@fescuestair/runtime';
import {type Links} from '@fescuestair/transport';
import {type DepartureStore} from './departure-store.js';
import {createRecentDepartures, type RecentDepartures} from './recent-departures.js';
import {waitForMajority} from './wait-for-majority.js';

/** That an instance leaves cannot be acknowledged now, since a majority of the group does not have it on its disks. */
export class DepartureNotSavedError extends BaseError {
	constructor(id: string) {
		super('departure_not_saved', `no majority has saved that instance ${id} leaves`);
	}
}

export type DeparturePersisterOptions = {
	/** Link address of this coordinator. */
	readonly ownAddress: string;
	readonly clock: Pick<Clock, 'readMonotonicMs'>;
	readonly links: Pick<Links, 'call'>;
	readonly log: Pick<Logger, 'warn'>;
	readonly metrics: Pick<PrometheusMetrics, 'count'>;
	readonly store: Pick<DepartureStore, 'save'>;
	/** Link addresses of the other coordinators. */
	readonly listPeerAddresses: () => readonly string[];
	/** Link addresses of the members of the group whose votes count; empty where there is no group yet. */
	readonly listVoterAddresses: () => readonly string[];
};

export type DeparturePersister = {
	/**
	Resolves once a majority of the group has the departure on its disks, so that it outlasts the loss of all processes, and of the disks that the group bears to lose. Throws a
	`DepartureNotSavedError` where that is not reached.
	*/
	readonly persist: (update: InstanceUpdate) => Promise<void>;
	readonly retain: RecentDepartures['retain'];
};

/** Shorter than an instance waits for the acknowledgement of its announcement. */
const voteTimeoutMs = 500;

/**
Creates what makes departures durable.

@example
```
const persister = createDeparturePersister({ownAddress, clock, links, log, metrics, store, listPeerAddresses, listVoterAddresses});
await persister.persist(update);
```
*/
export function createDeparturePersister({
	ownAddress, clock, links, log, metrics, store, listPeerAddresses, listVoterAddresses,
}: DeparturePersisterOptions): DeparturePersister {
	const persisted = createRecentDepartures({clock});

	const reportTo = async (address: string, update: InstanceUpdate) => {
		const reply = await callAndValidate(links, {address, message: {kind: LinkMessageKind.ReportInstances, notes: [update]}, timeoutMs: voteTimeoutMs});

		if (reply.kind !== 'noted') {
			throw new ReplyError(address, 'did not take the report of an instance');
		}
	};

	const saveHere = async (update: InstanceUpdate) => {
		await Promise.race([store.save(update.record), rejectLater()]);
	};

	return {
		async persist(update) {
			const {record} = update;

			if (persisted.has(record)) {
				return;
			}

			const calls = new Map([[ownAddress, saveHere(update)], ...listPeerAddresses().map(address => [address, reportTo(address, update)] as const)]);
			void Promise.allSettled(calls.values());
			const voters = listVoterAddresses();
			// Before there is a group, each coordinator that is known counts.
			const counted = voters.length === 0 ? [...calls.keys()] : voters;

			try {
				await waitForMajority({votes: [...calls].flatMap(([address, call]) => counted.includes(address) ? [call] : []), voterCount: counted.length});
				persisted.record(record);
			} catch (error) {
				metrics.count('departures_unsecured_total', {});
				log.warn('that an instance leaves is not acknowledged, since no majority has it on its disks', {
					id: record.id, incarnation: record.incarnation, reason: String(error), errors: (error as AggregateError).errors.map(String),
				});

				throw new DepartureNotSavedError(record.id);
			}
		},
		retain: persisted.retain,
	};
}

async function rejectLater(): Promise<never> {
	return new Promise((_resolve, reject) => {
		setTimeout(() => {
			reject(new Error(`not saved within ${voteTimeoutMs} ms`));
		}, voteTimeoutMs).unref();
	});
}
