import {InstanceStage, type InstanceRecord, type RegisteredInstance} from '@fescuestair/instances';

/** An order to an instance to load another version of a model's weights. */
export type WeightOrder = {
	readonly instanceId: string;
	readonly address: string;
	readonly model: string;
	readonly version: number;
};

/** Why an instance with older weights gets no order now. */
export enum OrderObstacle {
	/** It leaves, or has left. */
	Leaving = 'leaving',
	/** It has not announced itself for too long. */
	Silent = 'silent',
	/** It has an order in progress. */
	InProgress = 'in_progress',
	/** An order to it failed a moment ago. */
	BackingOff = 'backing_off',
	/** Enough others load weights. */
	NoTurn = 'no_turn',
}

/** An instance whose weights are older than the target, and the order that it should get. */
export type OutdatedInstance = WeightOrder & {
	readonly currentVersion: number;
	/** `undefined` where it gets the order now. */
	readonly obstacle: OrderObstacle | undefined;
};

/** The orders to one instance that failed one after the other. */
export type OrderFailures = {readonly count: number; readonly retryAtMs: number};

export type PlanWeightOrdersInput = {
	readonly instances: Iterable<RegisteredInstance>;
	/** The target version of the weights of each model. */
	readonly weights: ReadonlyMap<string, number>;
	/** Instances that have an order in progress. */
	readonly busyInstanceIds: ReadonlySet<string>;
	/** Instances whose latest orders failed, by id. */
	readonly failures?: ReadonlyMap<string, OrderFailures> | undefined;
	readonly maxConcurrentLoads: number;
	readonly nowMs: number;
	/** Instances whose last announcement is at least this old get no order. */
	readonly silenceTimeoutMs: number;
};

/** Share of the instances that may load at the same time: the others keep serving, and a rollout takes only a few rounds. */
const maxLoadingShare = 1 / 4;
const minConcurrentLoads = 2;
/** Delay of the next order after the first failure; it doubles with each further one, up to the maximum. */
const minRetryDelayMs = 400;
const maxRetryDelayMs = 2000;

/**
Computes how many of a number of instances may load weights at the same time.

@example
```
computeMaxConcurrentLoads(63); //=> 15
```
*/
export function computeMaxConcurrentLoads(instances: number): number {
	return Math.max(minConcurrentLoads, Math.floor(instances * maxLoadingShare));
}

/**
Plans the next orders to load weights. Only ready instances get orders, those furthest behind the target version first, and of these the ones whose orders failed least often, so
that they do not keep the others from theirs. The number of concurrent loads is limited, so that most instances keep serving during a rollout, also under full load.

@example
```
const orders = planWeightOrders({instances, weights, busyInstanceIds: new Set(), maxConcurrentLoads: 2, nowMs, silenceTimeoutMs: 5000});
```
*/
export function planWeightOrders(plan: PlanWeightOrdersInput): readonly WeightOrder[] {
	return listDueOrders(listOutdatedInstances(plan));
}

/** Lists the orders to those instances that nothing keeps from one. */
export function listDueOrders(outdated: readonly OutdatedInstance[]): readonly WeightOrder[] {
	return outdated
		.filter(({obstacle}) => obstacle === undefined)
		.map(({currentVersion: _currentVersion, obstacle: _obstacle, ...order}) => order);
}

/** Lists the instances whose weights are older than the target, with what keeps each of them from an order. */
export function listOutdatedInstances(plan: PlanWeightOrdersInput): readonly OutdatedInstance[] {
	const {instances, weights, busyInstanceIds, failures, maxConcurrentLoads, nowMs, silenceTimeoutMs} = plan;
	const countFailures = ({instanceId}: WeightOrder) => failures?.get(instanceId)?.count ?? 0;
	const outdated: OutdatedInstance[] = [];

	for (const {record, heardAtMs} of instances) {
		if (record.stage === InstanceStage.Gone) {
			continue;
		}

		for (const {name, version} of record.models) {
			const targetVersion = weights.get(name);

			if (targetVersion !== undefined && version < targetVersion) {
				outdated.push({
					instanceId: record.id, address: record.address, model: name, version: targetVersion, currentVersion: version,
					obstacle: findObstacle(record, {
						isBusy: busyInstanceIds.has(record.id), isSilent: nowMs - heardAtMs >= silenceTimeoutMs, isBackingOff: nowMs < (failures?.get(record.id)?.retryAtMs ?? 0),
					}),
				});
			}
		}
	}

	let freePlaces = Math.max(0, maxConcurrentLoads - busyInstanceIds.size);

	return outdated
		.toSorted((a, b) => (b.version - b.currentVersion) - (a.version - a.currentVersion) || countFailures(a) - countFailures(b) || (a.instanceId < b.instanceId ? -1 : 1))
		.map(one => one.obstacle === undefined && freePlaces-- <= 0 ? {...one, obstacle: OrderObstacle.NoTurn} : one);
}

function findObstacle({stage}: InstanceRecord, {isBusy, isSilent, isBackingOff}: {
	readonly isBusy: boolean; readonly isSilent: boolean; readonly isBackingOff: boolean;
}): OrderObstacle | undefined {
	if (stage !== InstanceStage.Ready) {
		return OrderObstacle.Leaving;
	}

	if (isBusy) {
		return OrderObstacle.InProgress;
	}

	if (isSilent) {
		return OrderObstacle.Silent;
	}

	return isBackingOff ? OrderObstacle.BackingOff : undefined;
}

/**
Adds a failed order to those of an instance.

@example
```
addOrderFailure(undefined, 1000); //=> {count: 1, retryAtMs: 1400}
```
*/
export function addOrderFailure(failures: OrderFailures | undefined, nowMs: number): OrderFailures {
	const count = (failures?.count ?? 0) + 1;

	return {count, retryAtMs: nowMs + Math.min(maxRetryDelayMs, minRetryDelayMs * (2 ** (count - 1)))};
}
