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
	/** Enough others load weights. */
	NoTurn = 'no_turn',
}

/** An instance whose weights are older than the target, and the order that it should get. */
export type OutdatedInstance = WeightOrder & {
	readonly currentVersion: number;
	/** `undefined` where it gets the order now. */
	readonly obstacle: OrderObstacle | undefined;
};

export type PlanWeightOrdersInput = {
	readonly instances: Iterable<RegisteredInstance>;
	/** The target version of the weights of each model. */
	readonly weights: ReadonlyMap<string, number>;
	/** Instances that have an order in progress. */
	readonly busyInstanceIds: ReadonlySet<string>;
	readonly maxConcurrentLoads: number;
	readonly nowMs: number;
	/** Instances whose last announcement is at least this old get no order. */
	readonly silenceTimeoutMs: number;
};

/** Share of the instances that may load at the same time: the others keep serving, and a rollout takes only a few rounds. */
const maxLoadingShare = 1 / 4;
const minConcurrentLoads = 2;

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
Plans the next orders to load weights. Only ready instances get orders, those furthest behind the target version first, and the number of
concurrent loads is limited, so that most instances keep serving during a rollout, also under full load.

@example
```
const orders = planWeightOrders({instances, weights, busyInstanceIds: new Set(), maxConcurrentLoads: 2, nowMs, silenceTimeoutMs: 5000});
```
*/
export function planWeightOrders(plan: PlanWeightOrdersInput): readonly WeightOrder[] {
	return listOutdatedInstances(plan)
		.filter(({obstacle}) => obstacle === undefined)
		.map(({currentVersion: _currentVersion, obstacle: _obstacle, ...order}) => order);
}

/** Lists the instances whose weights are older than the target, with what keeps each of them from an order. */
export function listOutdatedInstances(plan: PlanWeightOrdersInput): readonly OutdatedInstance[] {
	const {instances, weights, busyInstanceIds, maxConcurrentLoads, nowMs, silenceTimeoutMs} = plan;
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
					obstacle: findObstacle(record, {isBusy: busyInstanceIds.has(record.id), isSilent: nowMs - heardAtMs >= silenceTimeoutMs}),
				});
			}
		}
	}

	let freePlaces = Math.max(0, maxConcurrentLoads - busyInstanceIds.size);

	return outdated
		.toSorted((a, b) => (b.version - b.currentVersion) - (a.version - a.currentVersion) || (a.instanceId < b.instanceId ? -1 : 1))
		.map(one => one.obstacle === undefined && freePlaces-- <= 0 ? {...one, obstacle: OrderObstacle.NoTurn} : one);
}

function findObstacle({stage}: InstanceRecord, {isBusy, isSilent}: {readonly isBusy: boolean; readonly isSilent: boolean}): OrderObstacle | undefined {
	if (stage !== InstanceStage.Ready) {
		return OrderObstacle.Leaving;
	}

	if (isBusy) {
		return OrderObstacle.InProgress;
	}

	return isSilent ? OrderObstacle.Silent : undefined;
}
