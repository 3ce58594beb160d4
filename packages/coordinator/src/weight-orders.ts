import {setTimeout as sleep} from 'node:timers/promises';
import {type Clock} from '@fescuestair/core';
import {InstanceStage, type HeldInstance} from '@fescuestair/instances';
import {type Log} from '@fescuestair/runtime';
import {computeLoadsAtOnce, planWeightOrders, type WeightOrder} from './plan-weight-orders.js';

/** What an instance says of an order, or of its weights. */
export enum OrderAnswer {
	/** Taken, or it holds already. */
	Taken = 'taken',
	/** Another order is under way, or what was expected of the instance no longer holds. */
	Conflict = 'conflict',
	/** Refused for good. */
	Refused = 'refused',
	/** No answer: it may be carried out, also later. */
	Unknown = 'unknown',
}

export type WeightReport = {
	readonly models: ReadonlyArray<{readonly name: string; readonly version: number}>;
	readonly isBusy: boolean;
	/** Orders that the instance has accepted since its start. */
	readonly orderCount: number;
};

export type WeightOrderInput = WeightOrder & {
	readonly holder: string;
	/** Higher with each new giver of orders. */
	readonly fencingToken: number;
	/** The order is carried out only while the instance has accepted this many. */
	readonly expectedOrderCount: number;
};

export type WeightOrdersOptions = {
	readonly holder: string;
	readonly clock: Clock;
	readonly log: Log;
	readonly listInstances: () => Iterable<HeldInstance>;
	readonly getWeights: () => ReadonlyMap<string, number>;
	/** The term in which this replica leads and may order; `undefined` where it may not. */
	readonly getLeadingTerm: () => number | undefined;
	/** Resolves once a majority confirms that this replica leads. */
	readonly confirmLeading: () => Promise<void>;
	readonly sendOrder: (order: WeightOrderInput) => Promise<OrderAnswer>;
	readonly fetchReport: (instance: {readonly id: string; readonly address: string}) => Promise<WeightReport>;
	readonly onLoading: (instanceId: string, deadlineMs: number) => void;
	readonly onLoaded: (instanceId: string, model: {readonly name: string; readonly version: number}) => void;
	/** A new giver waits this long, so that no order of the one before can still take turns with its own. */
	readonly handoverMs: number;
};

const roundMs = 200;
/** A load that does not show by then is ordered again; running requests end first, and may last a whole timeout. */
const loadTimeoutMs = 6000;
/** Instances that were silent for longer are taken for lost: four announcements. */
const silentMs = 5000;

/**
Creates the task that brings instances to the weights named last, while its replica leads.

@example
```
const orders = createWeightOrders({holder: 'core-1', clock, log, ...functions});
orders.stop();
```
*/
export function createWeightOrders(options: WeightOrdersOptions): {readonly stop: () => void} {
	const {
		holder, clock, log, listInstances, getWeights, getLeadingTerm, confirmLeading, sendOrder, fetchReport, onLoading, onLoaded, handoverMs,
	} = options;
	const busyIds = new Set<string>();
	let leading: {readonly term: number; readonly mayOrderFromMs: number} | undefined;

	const mayOrder = (term: number) => leading?.term === term && getLeadingTerm() === term;

	const carryOut = async (order: WeightOrder, term: number) => {
		const deadlineMs = clock.readMonotonicMs() + loadTimeoutMs;
		const before = await fetchReport({id: order.instanceId, address: order.address});

		if (isHeld(before, order)) {
			onLoaded(order.instanceId, {name: order.model, version: order.version});

			return;
		}

		if (!before.isBusy) {
			await confirmLeading();

			if (!mayOrder(term)) {
				return;
			}

			const answer = await sendOrder({
				...order, holder, fencingToken: term, expectedOrderCount: before.orderCount,
			});
			log.info('order to load weights', {
				...order, fencingToken: term, expectedOrderCount: before.orderCount, answer,
			});

			if (answer === OrderAnswer.Refused) {
				return;
			}
		}

		onLoading(order.instanceId, deadlineMs);
		await awaitLoad(order, term, deadlineMs);
		onLoading(order.instanceId, 0);
	};

	const awaitLoad = async (order: WeightOrder, term: number, deadlineMs: number) => {
		while (clock.readMonotonicMs() < deadlineMs && mayOrder(term)) {
			await sleep(roundMs);
			const report = await fetchReport({id: order.instanceId, address: order.address});

			if (isHeld(report, order)) {
				onLoaded(order.instanceId, {name: order.model, version: order.version});
				log.info('weights loaded', {...order});

				return;
			}

			// Nothing is under way: the order was lost, or met another.
			if (!report.isBusy) {
				return;
			}
		}
	};

	const start = async (order: WeightOrder, term: number) => {
		busyIds.add(order.instanceId);

		try {
			await carryOut(order, term);
		} catch (error) {
			log.warn('weights could not be ordered', {...order, reason: String(error)});
			onLoading(order.instanceId, 0);
		} finally {
			busyIds.delete(order.instanceId);
		}
	};

	const runRound = () => {
		const term = getLeadingTerm();
		const nowMs = clock.readMonotonicMs();

		if (term === undefined) {
			leading = undefined;

			return;
		}

		if (leading?.term !== term) {
			leading = {term, mayOrderFromMs: nowMs + handoverMs};
		}

		if (nowMs < leading.mayOrderFromMs) {
			return;
		}

		const instances = [...listInstances()];
		const serving = instances.filter(({record, heardAtMs}) => record.stage === InstanceStage.Ready && record.models.length > 0 && nowMs - heardAtMs < silentMs);
		const orders = planWeightOrders({
			instances, weights: getWeights(), busyIds, maxAtOnce: computeLoadsAtOnce(serving.length), nowMs, silentMs,
		});

		for (const order of orders) {
			void start(order, term);
		}
	};

	const timer = setInterval(runRound, roundMs);

	return {
		stop() {
			clearInterval(timer);
			leading = undefined;
		},
	};
}

function isHeld(report: WeightReport, order: WeightOrder): boolean {
	return report.models.some(model => model.name === order.model && model.version >= order.version);
}
