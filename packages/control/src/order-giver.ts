import {type Clock} from '@fescuestair/core';
import {listRecords, RecordKind, type Membership} from '@fescuestair/membership';
import {headerNames, type UpstreamDetails} from '@fescuestair/protocol';
import {type Log} from '@fescuestair/runtime';
import {
	AnswerKind, CommandKind, type Answer, type PublicState, type Request,
} from '@fescuestair/state';
import {planOrders, type LoadOrder} from './plan-orders.js';

export type OrderGiverOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly getState: () => PublicState;
	readonly getMembership: () => Membership;
	/** Whether this replica leads and holds its lease. */
	readonly isLeading: () => boolean;
	readonly propose: (request: Request) => Promise<Answer>;
	readonly sendOrder: (order: LoadOrder, fencingNumber: number) => Promise<void>;
};

export type OrderGiver = {readonly stop: () => void};

const roundMs = 250;
/** An order that has not shown by then is given again. */
const loadTimeoutMs = 10_000;
const refusedPauseMs = 1000;
/** Longest time for which an order of an earlier leader may still be on its way. */
const longestFlightMs = 2000;

/**
Creates the task that gives orders while its replica leads. Each order carries a new fencing number; for engines that
ignore it, a new leader waits until no order of the one before can still arrive.

@example
```
const giver = createOrderGiver({clock, log, getState, getMembership, isLeading, propose, sendOrder});
```
*/
export function createOrderGiver(options: OrderGiverOptions): OrderGiver {
	const {clock, log, getState, getMembership, isLeading, propose, sendOrder} = options;
	const loading = new Map<string, {readonly order: LoadOrder; readonly deadlineMs: number}>();
	let mayOrderFromMs: number | undefined;

	const dropFinished = () => {
		for (const [id, {order, deadlineMs}] of loading) {
			const details = getMembership().held.get(id)?.record.details as UpstreamDetails | undefined;

			if (details === undefined || details.weightVersion === order.weightVersion || clock.readMonotonicMs() >= deadlineMs) {
				loading.delete(id);
			}
		}
	};

	const giveOrder = async (order: LoadOrder) => {
		loading.set(order.upstreamId, {order, deadlineMs: clock.readMonotonicMs() + loadTimeoutMs});

		try {
			const answer = await propose({kind: CommandKind.TakeFencingNumber});

			// The lease is looked at again: taking the number may have lasted.
			if (answer.kind === AnswerKind.Done && isLeading()) {
				await sendOrder(order, answer.value);
				log.info('order given', {...order, fencingNumber: answer.value});
			}
		} catch (error) {
			// The place is kept a little, so that an engine that refuses is not asked all the time.
			loading.set(order.upstreamId, {order, deadlineMs: clock.readMonotonicMs() + refusedPauseMs});
			log.warn('order not given', {...order}, error);
		}
	};

	const runRound = () => {
		if (!isLeading()) {
			mayOrderFromMs = undefined;
			loading.clear();

			return;
		}

		mayOrderFromMs ??= clock.readMonotonicMs() + longestFlightMs;

		if (clock.readMonotonicMs() < mayOrderFromMs) {
			return;
		}

		dropFinished();
		const upstreams = listRecords(getMembership(), RecordKind.Upstream);

		for (const order of planOrders({state: getState(), upstreams, loadingIds: new Set(loading.keys())})) {
			void giveOrder(order);
		}
	};

	const timer = setInterval(runRound, roundMs);

	return {
		stop() {
			clearInterval(timer);
		},
	};
}

type SendOptions = {
	/** Proves the giver to engines that check it. */
	readonly orderKey: string;
};

/** Creates the function that sends an order over HTTP. */
export function createOrderSender({orderKey}: SendOptions): OrderGiverOptions['sendOrder'] {
	return async ({address, model, weightVersion}, fencingNumber) => {
		const response = await fetch(`http://${address}/v1/orders`, {
			method: 'POST',
			headers: {'content-type': 'application/json', authorization: `Bearer ${orderKey}`, [headerNames.fencingToken]: String(fencingNumber)},
			body: JSON.stringify({kind: 'load', model, weightVersion}),
			signal: AbortSignal.timeout(longestFlightMs),
		});
		await response.arrayBuffer();

		if (!response.ok) {
			throw new Error(`the engine refused the order with status ${response.status}`);
		}
	};
}
