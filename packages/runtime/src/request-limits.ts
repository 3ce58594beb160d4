import {type Clock} from '@fescuestair/core';
import {type RequestLimitNote} from '@fescuestair/instances';
import {
	isLimitChange, isValidRequestLimit, mergeRequestLimits, noRequestLimit, recordRequestLimit, type LimitStatement, type RequestLimit,
} from '@fescuestair/limits';
import {noColdInstances, type ColdInstances} from './cold-instances.js';
import {type Logger} from './logger.js';

/** One run of an instance; a restarted one knows nothing of the limits that it named before. */
export type InstanceRun = {readonly id: string; readonly incarnation: number};

export type RequestLimitsOptions = {
	readonly clock: Clock;
	readonly log: Pick<Logger, 'info' | 'warn'>;
	/** Instances that are limited because they are cold; by default none. */
	readonly cold?: ColdInstances;
	/** Called when a limit began, ended or changed, with what other daemons should be told; `isOwn` if an answer to this daemon said so. */
	readonly onChange?: (note: RequestLimitNote, options: {readonly isOwn: boolean}) => void;
};

/** The limits of instances: those that they name in their answers, and those of cold ones. */
export type RequestLimits = {
	/** Records what an answer says about the limit of its instance, and about how much longer that is cold. */
	readonly recordAnswer: (run: InstanceRun, statement: LimitStatement & {readonly coldLeftMs?: number | undefined}) => void;
	/** Records that an instance was found not to run. */
	readonly recordEnd: (run: InstanceRun) => void;
	/** Merges what another daemon knows. */
	readonly merge: (notes: readonly RequestLimitNote[]) => void;
	/** Requests per second that an instance accepts from all daemons together; `undefined` where it has no limit. */
	readonly getPerSecond: (run: InstanceRun) => number | undefined;
	/** Whether an instance is limited because it is cold. */
	readonly isCold: (run: InstanceRun) => boolean;
	/** Requests per second that an instance gets from all daemons that reach no granting daemon; `undefined` where it gets none, as by a limit that it names. */
	readonly getUngrantedPerSecond: (run: InstanceRun) => number | undefined;
	/** Describes a limit for another daemon. */
	readonly describe: (run: InstanceRun) => RequestLimitNote;
	/** Lists all limits, and those that ended lately, for a daemon that may have missed some. */
	readonly list: () => readonly RequestLimitNote[];
	/** Number of instances that name a limit. */
	readonly countLimited: () => number;
};

/**
A limit that ended stays on record for this long, so that a late note does not bring it back; so does one of which nothing was heard, which no
daemon needs any more.
*/
const retentionMs = 60_000;

/**
Creates the record of the limits that instances name.

@example
```
const limits = createRequestLimits({clock, log});
limits.recordAnswer({id: 'i-1', incarnation: 7}, {perSecond: 3.3, hasRun: true, sentAtMs});
```
*/
export function createRequestLimits({clock, log, cold = noColdInstances, onChange = () => undefined}: RequestLimitsOptions): RequestLimits {
	const limits = new Map<string, {readonly incarnation: number; readonly limit: RequestLimit}>();

	const getLimit = ({id, incarnation}: InstanceRun): RequestLimit => {
		const known = limits.get(id);

		return known?.incarnation === incarnation ? known.limit : noRequestLimit;
	};

	const describe = ({id, incarnation}: InstanceRun): RequestLimitNote => {
		const {perSecond, observedAtMs} = getLimit({id, incarnation});
		const ageMs = Math.min(retentionMs, Math.max(0, clock.readMonotonicMs() - observedAtMs));

		return {
			id, incarnation, ...(perSecond !== undefined && {perSecond}), ageMs, ...cold.describe({id, incarnation}),
		};
	};

	const setLimit = (run: InstanceRun, limit: RequestLimit, isOwn: boolean) => {
		const known = getLimit(run);

		if (limit === known) {
			return;
		}

		const {id, incarnation} = run;
		limits.set(id, {incarnation, limit});

		if (!isLimitChange(known, limit)) {
			return;
		}

		log.info(limit.perSecond === undefined ? 'instance names no request limit any more' : 'instance names a request limit', {
			id, incarnation, perSecond: limit.perSecond, before: known.perSecond, isOwn,
		});
		onChange(describe(run), {isOwn});
	};

	const isSuperseded = ({id, incarnation}: InstanceRun) => (limits.get(id)?.incarnation ?? incarnation) > incarnation;

	const expire = () => {
		const nowMs = clock.readMonotonicMs();

		for (const [id, {limit}] of limits) {
			if (nowMs - limit.observedAtMs >= retentionMs) {
				limits.delete(id);
			}
		}
	};

	return {
		recordAnswer(run, statement) {
			if (isSuperseded(run)) {
				return;
			}

			const {coldLeftMs, sentAtMs} = statement;

			if (coldLeftMs !== undefined && cold.recordAnswer(run, {coldLeftMs, sentAtMs})) {
				log.info('an instance answers that it is cold', {id: run.id, incarnation: run.incarnation, coldLeftMs});
				onChange(describe(run), {isOwn: true});
			}

			if (statement.perSecond !== undefined && !isValidRequestLimit(statement.perSecond)) {
				log.warn('instance names a request limit that is not a number', run);
			}

			setLimit(run, recordRequestLimit(getLimit(run), statement, clock.readMonotonicMs()), true);
		},
		recordEnd(run) {
			if (cold.recordEnd(run)) {
				log.info('an instance that does not run will be cold', {id: run.id, incarnation: run.incarnation});
				onChange(describe(run), {isOwn: true});
			}
		},
		merge(notes) {
			for (const note of notes) {
				const {id, incarnation, perSecond, ageMs} = note;
				const run = {id, incarnation};

				if (cold.merge(note)) {
					log.info('another daemon knows that an instance is cold', {id, incarnation, coldLeftMs: note.coldLeftMs});
				}

				if (!isSuperseded(run) && ageMs < retentionMs) {
					setLimit(run, mergeRequestLimits(getLimit(run), {perSecond, observedAtMs: clock.readMonotonicMs() - ageMs}), false);
				}
			}
		},
		getPerSecond(run) {
			const named = getLimit(run).perSecond;
			const coldPerSecond = cold.getPerSecond(run);

			return named === undefined || coldPerSecond === undefined ? named ?? coldPerSecond : Math.min(named, coldPerSecond);
		},
		isCold: run => cold.getPerSecond(run) !== undefined,
		getUngrantedPerSecond: run => getLimit(run).perSecond === undefined ? cold.getUngrantedPerSecond(run) : undefined,
		describe,
		list() {
			expire();

			return [...[...limits].map(([id, {incarnation}]) => ({id, incarnation})), ...cold.list().filter(({id}) => !limits.has(id))].map(run => describe(run));
		},
		countLimited: () => [...limits.values()].filter(({limit}) => limit.perSecond !== undefined).length,
	};
}
