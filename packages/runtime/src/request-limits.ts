import {type Clock} from '@fescuestair/core';
import {
	isValidRequestLimit, noRequestLimit, recordRequestLimit, type LimitStatement, type RequestLimit,
} from '@fescuestair/limits';
import {type Logger} from './logger.js';

/** One run of an instance; a restarted one knows nothing of the limits that it named before. */
export type InstanceRun = {readonly id: string; readonly incarnation: number};

export type RequestLimitsOptions = {
	readonly clock: Clock;
	readonly log: Pick<Logger, 'info' | 'warn'>;
};

/** The limits that instances name in their answers. */
export type RequestLimits = {
	/** Records what an answer says about the limit of its instance. */
	readonly recordAnswer: (instance: InstanceRun, statement: LimitStatement) => void;
	/** Requests per second that an instance accepts from all daemons together; `undefined` where it names no limit. */
	readonly getPerSecond: (instance: InstanceRun) => number | undefined;
	/** Number of instances that name a limit. */
	readonly countLimited: () => number;
};

/**
Creates the record of the limits that instances name.

@example
```
const limits = createRequestLimits({clock, log});
limits.recordAnswer({id: 'i-1', incarnation: 7}, {perSecond: 3.3, hasRun: true, sentAtMs});
```
*/
export function createRequestLimits({clock, log}: RequestLimitsOptions): RequestLimits {
	const limits = new Map<string, {readonly incarnation: number; readonly limit: RequestLimit}>();

	const getLimit = ({id, incarnation}: InstanceRun): RequestLimit => {
		const known = limits.get(id);

		return known?.incarnation === incarnation ? known.limit : noRequestLimit;
	};

	return {
		recordAnswer(instance, statement) {
			const {id, incarnation} = instance;

			if ((limits.get(id)?.incarnation ?? incarnation) > incarnation) {
				return;
			}

			if (statement.perSecond !== undefined && !isValidRequestLimit(statement.perSecond)) {
				log.warn('instance names a request limit that is not a number', {id, incarnation});
			}

			const known = getLimit(instance);
			const limit = recordRequestLimit(known, statement, clock.readMonotonicMs());

			if (limit === known) {
				return;
			}

			limits.set(id, {incarnation, limit});

			if (limit.perSecond !== known.perSecond) {
				log.info(limit.perSecond === undefined ? 'instance names no request limit any more' : 'instance names a request limit', {
					id, incarnation, perSecond: limit.perSecond, before: known.perSecond,
				});
			}
		},
		getPerSecond: instance => getLimit(instance).perSecond,
		countLimited: () => [...limits.values()].filter(({limit}) => limit.perSecond !== undefined).length,
	};
}
