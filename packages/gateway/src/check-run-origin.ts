import {setTimeout as sleep} from 'node:timers/promises';
import {type Clock} from '@fescuestair/core';
import {type InstanceRecord, type RegisteredInstance} from '@fescuestair/instances';
import {type Logger} from '@fescuestair/runtime';
import {type InstancePool} from './instance-pool.js';

/** Asks an instance for its incarnation; resolves to `undefined` where it names none. */
export type FetchIncarnation = (instance: Pick<InstanceRecord, 'id' | 'address'>) => Promise<number | undefined>;

/** How it became known which incarnation of an instance runs a request. */
export enum OriginProof {
	/** The connection is older than any announcement that may still have been on its way. */
	Connection = 'connection',
	/** The instance answered that it has not restarted since it was announced. */
	Report = 'report',
	/** The instance was announced after the request was sent. */
	Announcement = 'announcement',
	/** It is not known. */
	None = 'none',
}

export type OriginCheckOptions = {
	readonly clock: Clock;
	readonly instancePool: Pick<InstancePool, 'get'>;
	readonly fetchIncarnation: FetchIncarnation;
	readonly log: Pick<Logger, 'info'>;
	readonly wait?: (delayMs: number) => Promise<unknown>;
};

export type CheckedRun = {
	/** The record by which the request was sent. */
	readonly record: InstanceRecord;
	/** When the connection of the run was opened, on the monotonic clock. */
	readonly openedAtMs: number;
	readonly hasEnded: () => boolean;
};

/** Announcements may arrive this late. */
const maxAnnouncementDelayMs = 5000;
/** An instance that does not tell its incarnation, or tells another one, is announced again within this time; longer than the interval of announcements. */
const maxAnnouncementWaitMs = 2000;
const pollIntervalMs = 25;

/**
Checks that an instance has not restarted, under its id and with other software, between its last announcement and a run. Connections do not outlive a process, so one that was
open when the instance announced itself leads to the incarnation that it named; where the instance answers later that it is that incarnation, it was so all the time.

@example
```
const proof = await checkRunOrigin({clock, instancePool, fetchIncarnation, log}, {record, openedAtMs, hasEnded: () => false});
```
*/
export async function checkRunOrigin({clock, instancePool, fetchIncarnation, log, wait = sleep}: OriginCheckOptions, {record, openedAtMs, hasEnded}: CheckedRun): Promise<OriginProof> {
	const {id, address, incarnation} = record;
	const getHeld = () => instancePool.get(id)?.held;

	if (isConnectionProof(getHeld(), {incarnation, openedAtMs})) {
		return OriginProof.Connection;
	}

	let reported: number | undefined;

	try {
		reported = await fetchIncarnation({id, address});
	} catch (error) {
		log.info('an instance did not tell whether it has restarted', {id, address, reason: String(error)});
	}

	if (reported === incarnation) {
		return OriginProof.Report;
	}

	const deadlineMs = clock.readMonotonicMs() + maxAnnouncementWaitMs;

	while (!hasEnded()) {
		const held = getHeld();

		if (held !== undefined && (reported === undefined ? held.heardAtMs > openedAtMs : held.record.incarnation >= reported)) {
			return OriginProof.Announcement;
		}

		if (clock.readMonotonicMs() >= deadlineMs) {
			break;
		}

		await wait(pollIntervalMs);
	}

	return OriginProof.None;
}

/**
Whether a connection leads to the incarnation of an instance that was announced, since it was open then.

@example
```
isConnectionProof(instancePool.get('i-1')?.held, {incarnation: 1, openedAtMs});
```
*/
export function isConnectionProof(held: RegisteredInstance | undefined, {incarnation, openedAtMs}: Pick<InstanceRecord, 'incarnation'> & Pick<CheckedRun, 'openedAtMs'>): boolean {
	return held?.record.incarnation === incarnation && held.heardAtMs - openedAtMs >= maxAnnouncementDelayMs;
}
