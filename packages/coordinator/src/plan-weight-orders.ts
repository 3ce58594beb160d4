import {InstanceStage, type RegisteredInstance} from '@fescuestair/instances';

/** An order to an instance to load another version of a model's weights. */
export type WeightOrder = {
	readonly instanceId: string;
	readonly address: string;
	readonly model: string;
	readonly version: number;
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
	const {instances, weights, busyInstanceIds, maxConcurrentLoads, nowMs, silenceTimeoutMs} = plan;
	const outdated: Array<WeightOrder & {readonly lag: number}> = [];

	for (const {record, heardAtMs} of instances) {
		if (record.stage !== InstanceStage.Ready || busyInstanceIds.has(record.id) || nowMs - heardAtMs >= silenceTimeoutMs) {
			continue;
		}

		for (const {name, version} of record.models) {
			const targetVersion = weights.get(name);

			if (targetVersion !== undefined && version < targetVersion) {
				outdated.push({
					instanceId: record.id, address: record.address, model: name, version: targetVersion, lag: targetVersion - version,
				});
			}
		}
	}

	return outdated
		.toSorted((a, b) => b.lag - a.lag || (a.instanceId < b.instanceId ? -1 : 1))
		.slice(0, Math.max(0, maxConcurrentLoads - busyInstanceIds.size))
		.map(({lag: _lag, ...order}) => order);
}
