import {setTimeout as sleep} from 'node:timers/promises';
import {type Clock} from '@fescuestair/core';
import {InstanceStage, type RegisteredInstance} from '@fescuestair/instances';
import {type Logger} from '@fescuestair/runtime';
import {createOutdatedInstances} from './outdated-instances.js';
import {
	addOrderFailure, computeMaxConcurrentLoads, listDueOrders, listOutdatedInstances, type OrderFailures, type WeightOrder,
} from './plan-weight-orders.js';

/** An instance's answer to an order. */
export enum OrderAnswer {
	/** Accepted, or already carried out. */
	Accepted = 'taken',
	/** Another order is in progress, or the precondition of this one no longer holds. */
	Conflict = 'conflict',
	/** Refused permanently. */
	Refused = 'refused',
	/** No answer: the order may still be carried out. */
	Unknown = 'unknown',
}

export type WeightReport = {
	readonly models: ReadonlyArray<{readonly name: string; readonly version: number}>;
	readonly isBusy: boolean;
	/** Number of orders that the instance has accepted since it started. */
	readonly orderCount: number;
};

export type WeightOrderInput = WeightOrder & {
	/** Name of the coordinator that sends the order. */
	readonly holder: string;
	/** Increases with each new leader. */
	readonly fencingToken: number;
	/** Precondition: the instance carries out the order only if it has accepted exactly this many before. */
	readonly expectedOrderCount: number;
};

export type WeightOrdersOptions = {
	readonly holder: string;
	readonly clock: Clock;
	readonly log: Logger;
	readonly listInstances: () => Iterable<RegisteredInstance>;
	readonly getTargetVersions: () => ReadonlyMap<string, number>;
	/** The term in which this replica leads and may send orders; `undefined` if it may not. */
	readonly getLeadingTerm: () => number | undefined;
	/** Resolves once a majority has confirmed that this replica leads. */
	readonly confirmLeading: () => Promise<void>;
	readonly sendOrder: (order: WeightOrderInput) => Promise<OrderAnswer>;
	readonly fetchReport: (instance: {readonly id: string; readonly address: string}) => Promise<WeightReport>;
	/** Marks an instance as loading until a deadline at the latest; 0 removes the mark. */
	readonly onLoading: (instanceId: string, deadlineMs: number) => void;
	/** Records the weight version that an instance reported as loaded, ahead of its next announcement. */
	readonly onLoaded: (instanceId: string, model: {readonly name: string; readonly version: number}) => void;
	/** A new leader waits this long before its first order, so that no order of its predecessor can interleave with its own. */
	readonly handoverMs: number;
};

export type WeightOrders = {
	/** Counts the instances that have stayed on older weights for longer than a rollout should take; 0 where this replica does not lead. */
	readonly countOverdue: () => number;
	readonly stop: () => void;
};

const roundIntervalMs = 200;
/** A load that has not finished by then is ordered again. The instance first completes its running requests, which can take their full timeout. */
const loadTimeoutMs = 6000;
/** Instances that have not announced themselves for this long, four announcement intervals, count as lost. */
const silenceTimeoutMs = 5000;

/**
Starts the rounds in which this replica, while it leads, orders instances to load the target versions of their models' weights.

@example
```
const orders = createWeightOrders({holder: 'core-1', clock, log, ...functions});
orders.stop();
```
*/
export function createWeightOrders(options: WeightOrdersOptions): WeightOrders {
	const {
		holder, clock, log, listInstances, getTargetVersions, getLeadingTerm, confirmLeading, sendOrder, fetchReport, onLoading, onLoaded, handoverMs,
	} = options;
	const busyInstanceIds = new Set<string>();
	const failures = new Map<string, OrderFailures>();
	const outdatedInstances = createOutdatedInstances({clock, log});
	let leadership: {readonly term: number; readonly canOrderFromMs: number} | undefined;

	const canOrder = (term: number) => leadership?.term === term && getLeadingTerm() === term;

	// Resolves to whether the instance has the ordered weights.
	const runOrder = async (order: WeightOrder, term: number): Promise<boolean> => {
		const deadlineMs = clock.readMonotonicMs() + loadTimeoutMs;
		const before = await fetchReport({id: order.instanceId, address: order.address});

		if (hasOrderedWeights(before, order)) {
			onLoaded(order.instanceId, {name: order.model, version: order.version});

			return true;
		}

		if (before.isBusy) {
			outdatedInstances.recordOutcome(order, 'another order is in progress');
		} else {
			await confirmLeading();

			if (!canOrder(term)) {
				return false;
			}

			const answer = await sendOrder({
				...order, holder, fencingToken: term, expectedOrderCount: before.orderCount,
			});
			log.info('order to load weights', {
				...order, fencingToken: term, expectedOrderCount: before.orderCount, answer,
			});
			outdatedInstances.recordOutcome(order, answer);

			if (answer === OrderAnswer.Refused) {
				return false;
			}
		}

		onLoading(order.instanceId, deadlineMs);
		const isLoaded = await waitForLoad(order, term, deadlineMs);
		onLoading(order.instanceId, 0);

		return isLoaded;
	};

	const tryFetchReport = async ({instanceId: id, address}: WeightOrder): Promise<WeightReport | undefined> => {
		try {
			return await fetchReport({id, address});
		} catch (error) {
			log.info('no report of an instance that loads weights', {id, reason: String(error)});

			return undefined;
		}
	};

	const waitForLoad = async (order: WeightOrder, term: number, deadlineMs: number): Promise<boolean> => {
		while (clock.readMonotonicMs() < deadlineMs && canOrder(term)) {
			await sleep(roundIntervalMs);
			const report = await tryFetchReport(order);

			// Silence does not show that the load has ended.
			if (report === undefined) {
				continue;
			}

			if (hasOrderedWeights(report, order)) {
				onLoaded(order.instanceId, {name: order.model, version: order.version});
				log.info('weights loaded', {...order});

				return true;
			}

			// No load is in progress: the order was lost or conflicted with another one.
			if (!report.isBusy) {
				return false;
			}
		}

		return false;
	};

	const startOrder = async (order: WeightOrder, term: number) => {
		busyInstanceIds.add(order.instanceId);
		let isLoaded = false;

		try {
			isLoaded = await runOrder(order, term);
		} catch (error) {
			log.warn('weights could not be ordered', {...order, reason: String(error)});
			outdatedInstances.recordOutcome(order, String(error));
			onLoading(order.instanceId, 0);
		} finally {
			busyInstanceIds.delete(order.instanceId);

			if (isLoaded) {
				failures.delete(order.instanceId);
			} else {
				failures.set(order.instanceId, addOrderFailure(failures.get(order.instanceId), clock.readMonotonicMs()));
			}
		}
	};

	const runRound = () => {
		const term = getLeadingTerm();
		const nowMs = clock.readMonotonicMs();

		if (term === undefined) {
			leadership = undefined;
			failures.clear();
			outdatedInstances.clear();

			return;
		}

		if (leadership?.term !== term) {
			leadership = {term, canOrderFromMs: nowMs + handoverMs};
		}

		if (nowMs < leadership.canOrderFromMs) {
			return;
		}

		const instances = [...listInstances()];
		const serving = instances.filter(({record, heardAtMs}) => record.stage === InstanceStage.Ready && record.models.length > 0 && nowMs - heardAtMs < silenceTimeoutMs);
		const outdated = listOutdatedInstances({
			instances, weights: getTargetVersions(), busyInstanceIds, failures, maxConcurrentLoads: computeMaxConcurrentLoads(serving.length), nowMs, silenceTimeoutMs,
		});

		outdatedInstances.replace(outdated);
		const heldIds = new Set(instances.map(({record}) => record.id));

		for (const id of failures.keys()) {
			if (!heldIds.has(id)) {
				failures.delete(id);
			}
		}

		for (const order of listDueOrders(outdated)) {
			void startOrder(order, term);
		}
	};

	const timer = setInterval(runRound, roundIntervalMs);

	return {
		countOverdue: outdatedInstances.countOverdue,
		stop() {
			clearInterval(timer);
			leadership = undefined;
		},
	};
}

function hasOrderedWeights(report: WeightReport, order: WeightOrder): boolean {
	return report.models.some(model => model.name === order.model && model.version >= order.version);
}
