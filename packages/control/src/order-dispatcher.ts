import {type Clock} from '@fescuestair/core';
import {listRecords, RecordKind, type Membership} from '@fescuestair/membership';
import {headerNames, type UpstreamDetails} from '@fescuestair/protocol';
import {type Logger} from '@fescuestair/runtime';
import {
	CommandResponseKind, CommandKind, type CommandResponse, type PublicState, type CommandRequest,
} from '@fescuestair/state';
import {planLoadOrders, type LoadOrder} from './plan-load-orders.js';

export type OrderDispatcherOptions = {
	readonly clock: Clock;
	readonly log: Logger;
	readonly getState: () => PublicState;
	readonly getMembership: () => Membership;
	/** Whether this replica is the leader and holds a valid lease. */
	readonly isLeading: () => boolean;
	readonly propose: (request: CommandRequest) => Promise<CommandResponse>;
	readonly sendOrder: (order: LoadOrder, fencingNumber: number) => Promise<void>;
};

export type OrderDispatcher = {readonly stop: () => void};

const dispatchIntervalMs = 250;
/** An order is sent again if the engine does not report the ordered weight version within this time. */
const loadTimeoutMs = 10_000;
const failureRetryDelayMs = 1000;
/** Time-out of an order request; also how long a new leader waits, since an order of its predecessor can be in flight for this long. */
const sendTimeoutMs = 2000;

/**
Starts to send load orders to engines periodically, while this replica leads. Each order carries a new fencing token. For engines that ignore
the token, a new leader also waits until no order of its predecessor can still arrive.

@example
```
const dispatcher = createOrderDispatcher({clock, log, getState, getMembership, isLeading, propose, sendOrder});
```
*/
export function createOrderDispatcher(options: OrderDispatcherOptions): OrderDispatcher {
	const {clock, log, getState, getMembership, isLeading, propose, sendOrder} = options;
	const pendingOrders = new Map<string, {readonly order: LoadOrder; readonly deadlineMs: number}>();
	let dispatchFromMs: number | undefined;

	const dropEndedOrders = () => {
		for (const [id, {order, deadlineMs}] of pendingOrders) {
			const details = getMembership().held.get(id)?.record.details as UpstreamDetails | undefined;

			if (details === undefined || details.weightVersion === order.weightVersion || clock.readMonotonicMs() >= deadlineMs) {
				pendingOrders.delete(id);
			}
		}
	};

	const dispatchOrder = async (order: LoadOrder) => {
		pendingOrders.set(order.upstreamId, {order, deadlineMs: clock.readMonotonicMs() + loadTimeoutMs});

		try {
			const answer = await propose({kind: CommandKind.IssueFencingToken});

			// The lease is checked again: it may have expired while the command for the fencing token was being committed.
			if (answer.kind === CommandResponseKind.Done && isLeading()) {
				await sendOrder(order, answer.value);
				log.info('order given', {...order, fencingNumber: answer.value});
			}
		} catch (error) {
			// The order stays pending for a short time, so that an engine that refuses it is not sent another in every round.
			pendingOrders.set(order.upstreamId, {order, deadlineMs: clock.readMonotonicMs() + failureRetryDelayMs});
			log.warn('order failed', {...order}, error);
		}
	};

	const dispatchPlannedOrders = () => {
		if (!isLeading()) {
			dispatchFromMs = undefined;
			pendingOrders.clear();

			return;
		}

		dispatchFromMs ??= clock.readMonotonicMs() + sendTimeoutMs;

		if (clock.readMonotonicMs() < dispatchFromMs) {
			return;
		}

		dropEndedOrders();
		const upstreams = listRecords(getMembership(), RecordKind.Upstream);

		for (const order of planLoadOrders({state: getState(), upstreams, loadingIds: new Set(pendingOrders.keys())})) {
			void dispatchOrder(order);
		}
	};

	const timer = setInterval(dispatchPlannedOrders, dispatchIntervalMs);

	return {
		stop() {
			clearInterval(timer);
		},
	};
}

type OrderSenderOptions = {
	/** Authenticates the sender to engines that check it. */
	readonly orderKey: string;
};

/** Creates the function that sends an order over HTTP. */
export function createOrderSender({orderKey}: OrderSenderOptions): OrderDispatcherOptions['sendOrder'] {
	return async ({address, model, weightVersion}, fencingNumber) => {
		const response = await fetch(`http://${address}/v1/orders`, {
			method: 'POST',
			headers: {'content-type': 'application/json', authorization: `Bearer ${orderKey}`, [headerNames.fencingToken]: String(fencingNumber)},
			body: JSON.stringify({kind: 'load', model, weightVersion}),
			signal: AbortSignal.timeout(sendTimeoutMs),
		});
		// The status says it all; a body that does not end is cancelled.
		await response.body?.cancel();

		if (!response.ok) {
			throw new Error(`the engine refused the load order with status ${response.status}`);
		}
	};
}
