import {type Clock} from '@fescuestair/core';
import {isLeaving, type RegisteredInstance, type RequestLimitNote} from '@fescuestair/instances';
import {
	computeAnnouncedColdEnd, computeColdRate, computeUngrantedRate, findColdEnd, mergeColdEnd, noColdTime, recordColdAnswer, recordEndedRun, type ColdBound, type ColdTerms, type ColdTime,
} from '@fescuestair/limits';
import {type Logger} from './logger.js';
import {type InstanceRun} from './request-limits.js';

export type ColdInstancesOptions = {
	readonly clock: Clock;
	readonly log: Pick<Logger, 'info'>;
	readonly listInstances: () => Iterable<RegisteredInstance>;
	readonly findInstance: (id: string) => RegisteredInstance | undefined;
	/** What the configuration in force says about cold instances of a service. */
	readonly getTerms: (service: string) => ColdTerms | undefined;
	readonly bound: ColdBound | undefined;
	/** When an availability zone got requests again after a time without; its instances may have become cold without having said so yet. */
	readonly getColdSinceMs?: (availabilityZone: string) => number | undefined;
};

/** What this daemon knows of instances that are cold and, while they are, bear fewer requests. */
export type ColdInstances = {
	/** Requests per second that an instance gets from all daemons together while it is cold; `undefined` where it is not. */
	readonly getPerSecond: (run: InstanceRun) => number | undefined;
	/** The same for all daemons that reach no granting daemon. */
	readonly getUngrantedPerSecond: (run: InstanceRun) => number | undefined;
	/** Records the time that an answer names; returns whether the instance is cold for longer than was known. */
	readonly recordAnswer: (run: InstanceRun, answer: {readonly coldLeftMs: number; readonly sentAtMs: number}) => boolean;
	/** Records that an instance does not run, so that it is cold once it answers again; returns whether that is news. */
	readonly recordEnd: (run: InstanceRun) => boolean;
	/** Merges what another daemon knows; returns whether the instance is cold for longer than was known. */
	readonly merge: (note: RequestLimitNote) => boolean;
	/** Describes the cold time for another daemon. */
	readonly describe: (run: InstanceRun) => Pick<RequestLimitNote, 'coldLeftMs' | 'coldPerSecond'>;
	/** Lists the instances whose cold time did not come from their announcements alone. */
	readonly list: () => readonly InstanceRun[];
	/** Counts the cold instances, and logs which have become cold and which are no longer. */
	readonly countCold: () => number;
};

type Known = {readonly incarnation: number; readonly time: ColdTime; readonly notedPerSecond: number | undefined};

/** Instances that are named in one line of the log. */
const maxLoggedInstances = 20;
/** A cold time that is over stays on record for this long, so that a late note of an earlier start does not count. */
const retentionMs = 60_000;
const noAnnouncement = {announcedEndMs: Number.NEGATIVE_INFINITY, heardAtMs: Number.NEGATIVE_INFINITY};

/**
Creates the record of cold instances. Announcements, answers and other daemons tell of them; the latest end that any of them names counts.

@example
```
const cold = createColdInstances({clock, log, listInstances, findInstance, getTerms: service => table.services.get(service)?.cold, bound});
cold.getPerSecond({id: 'i-1', incarnation: 7}); //=> 23
```
*/
export function createColdInstances(options: ColdInstancesOptions): ColdInstances {
	const {
		clock, log, listInstances, findInstance, getTerms, bound, getColdSinceMs = () => undefined,
	} = options;
	const knownById = new Map<string, Known>();
	let loggedIds: ReadonlySet<string> = new Set();

	const getKnown = ({id, incarnation}: InstanceRun): Known => {
		const known = knownById.get(id);

		return known?.incarnation === incarnation ? known : {incarnation, time: noColdTime, notedPerSecond: undefined};
	};

	const isSuperseded = ({id, incarnation}: InstanceRun) => (knownById.get(id)?.incarnation ?? incarnation) > incarnation;

	const findHeld = ({id, incarnation}: InstanceRun) => {
		const held = findInstance(id);

		return held?.record.incarnation === incarnation ? held : undefined;
	};

	const describeAnnouncement = (held: RegisteredInstance | undefined, terms: ColdTerms | undefined) => {
		if (held === undefined || terms === undefined) {
			return noAnnouncement;
		}

		const {record: {coldLeftMs, availabilityZone}, heardAtMs, restartedAtMs} = held;

		return {
			announcedEndMs: computeAnnouncedColdEnd({terms, announcement: {coldLeftMs, heardAtMs, restartedAtMs}, coldSinceMs: getColdSinceMs(availabilityZone)}), heardAtMs,
		};
	};

	const findState = (run: InstanceRun) => {
		const known = getKnown(run);
		const held = findHeld(run);
		const terms = held && getTerms(held.record.service);
		const announcement = describeAnnouncement(held, terms);

		return {
			known, terms, announcement, leftMs: findColdEnd(known.time, announcement) - clock.readMonotonicMs(),
		};
	};

	// Asked for each instance that a request may go to: most have nothing that says that they are cold.
	const mayBeCold = ({id}: InstanceRun) => {
		const held = findInstance(id);

		return knownById.has(id) || (held !== undefined
			&& ((held.record.coldLeftMs ?? 0) > 0 || held.restartedAtMs !== undefined || getColdSinceMs(held.record.availabilityZone) !== undefined));
	};

	const getPerSecond = (run: InstanceRun) => {
		if (!mayBeCold(run)) {
			return undefined;
		}

		const {known, terms, leftMs} = findState(run);

		return leftMs > 0 ? (terms === undefined ? known.notedPerSecond : computeColdRate(terms, bound)) : undefined;
	};

	const setTime = ({id, incarnation}: InstanceRun, known: Known, {time, notedPerSecond = known.notedPerSecond}: Pick<Known, 'time'> & Partial<Pick<Known, 'notedPerSecond'>>) => {
		const isLater = time.endMs > known.time.endMs;

		if (time !== known.time) {
			knownById.set(id, {incarnation, time, notedPerSecond});
		}

		return isLater;
	};

	const logChanges = (ids: ReadonlySet<string>) => {
		const began = [...ids].filter(id => !loggedIds.has(id));
		const ended = [...loggedIds].filter(id => !ids.has(id));
		loggedIds = ids;

		if (began.length + ended.length > 0) {
			log.info('instances count as cold, or no longer', {
				cold: ids.size, began: began.length, ended: ended.length, beganIds: began.slice(0, maxLoggedInstances), endedIds: ended.slice(0, maxLoggedInstances),
			});
		}
	};

	return {
		getPerSecond,
		getUngrantedPerSecond(run) {
			const {terms, leftMs} = findState(run);

			return leftMs > 0 && terms !== undefined ? computeUngrantedRate(terms, bound) : undefined;
		},
		recordAnswer(run, {coldLeftMs, sentAtMs}) {
			const {known, terms, announcement} = findState(run);

			// Only the configuration says what a cold instance bears.
			if (isSuperseded(run) || terms === undefined) {
				return false;
			}

			return setTime(run, known, {
				time: recordColdAnswer(known.time, {
					coldLeftMs, sentAtMs, ...announcement, durationMs: terms.durationMs,
				}, clock.readMonotonicMs()),
			});
		},
		recordEnd(run) {
			const {known, terms} = findState(run);

			return !isSuperseded(run) && terms !== undefined && setTime(run, known, {time: recordEndedRun(known.time, terms, clock.readMonotonicMs())});
		},
		merge({id, incarnation, coldLeftMs, coldPerSecond}) {
			const run = {id, incarnation};

			if (coldLeftMs === undefined || coldPerSecond === undefined || isSuperseded(run)) {
				return false;
			}

			const {known, announcement} = findState(run);
			const endMs = clock.readMonotonicMs() + coldLeftMs;

			// What announcements say is known without a note.
			return endMs > announcement.announcedEndMs && setTime(run, known, {time: mergeColdEnd(known.time, endMs), notedPerSecond: coldPerSecond});
		},
		describe(run) {
			const coldPerSecond = getPerSecond(run);

			return coldPerSecond === undefined ? {} : {coldLeftMs: Math.max(0, findState(run).leftMs), coldPerSecond};
		},
		list() {
			const nowMs = clock.readMonotonicMs();

			for (const [id, {time}] of knownById) {
				if (Math.max(time.endMs, time.refutedBeforeMs) + retentionMs < nowMs) {
					knownById.delete(id);
				}
			}

			return [...knownById].filter(([, {time}]) => time.endMs > nowMs).map(([id, {incarnation}]) => ({id, incarnation}));
		},
		countCold() {
			const ids = new Set<string>();

			for (const {record} of listInstances()) {
				if (!isLeaving(record) && getPerSecond(record) !== undefined) {
					ids.add(record.id);
				}
			}

			logChanges(ids);

			return ids.size;
		},
	};
}

/** Knows of no cold instance, as where no configuration names a rate. */
export const noColdInstances: ColdInstances = {
	getPerSecond: () => undefined, getUngrantedPerSecond: () => undefined, recordAnswer: () => false, recordEnd: () => false, merge: () => false, describe: () => ({}), list: () => [],
	countCold: () => 0,
};
