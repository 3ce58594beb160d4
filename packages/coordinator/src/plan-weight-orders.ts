import {InstanceStage, type HeldInstance} from '@fescuestair/instances';

/** An order to load other weights. */
export type WeightOrder = {
	readonly instanceId: string;
	readonly address: string;
	readonly model: string;
	readonly version: number;
};

export type WeightPlan = {
	readonly instances: Iterable<HeldInstance>;
	/** The weights named last, by model. */
	readonly weights: ReadonlyMap<string, number>;
	/** Instances with an order under way. */
	readonly busyIds: ReadonlySet<string>;
	readonly maxAtOnce: number;
	readonly nowMs: number;
	/** Instances not heard for this long get no order. */
	readonly silentMs: number;
};

/** Share of the instances that load at once; the others go on serving, and all are through within a few loads. */
const loadingShare = 1 / 4;
const leastAtOnce = 2;

/**
Computes how many of a number of instances load other weights at once.

@example
```
computeLoadsAtOnce(63); //=> 15
```
*/
export function computeLoadsAtOnce(instances: number): number {
	return Math.max(leastAtOnce, Math.floor(instances * loadingShare));
}

/**
Plans the next orders to load weights: to instances that serve, the longest outdated first, and never to more at once than load
well. Answers the load pattern of new weights while every instance is in use: all but a few go on serving.

@example
```
const orders = planWeightOrders({instances, weights, busyIds: new Set(), maxAtOnce: 2, nowMs, silentMs: 5000});
```
*/
export function planWeightOrders(plan: WeightPlan): readonly WeightOrder[] {
	const {instances, weights, busyIds, maxAtOnce, nowMs, silentMs} = plan;
	const outdated: Array<WeightOrder & {readonly lag: number}> = [];

	for (const {record, heardAtMs} of instances) {
		if (record.stage !== InstanceStage.Ready || busyIds.has(record.id) || nowMs - heardAtMs >= silentMs) {
			continue;
		}

		for (const {name, version} of record.models) {
			const wanted = weights.get(name);

			if (wanted !== undefined && version < wanted) {
				outdated.push({
					instanceId: record.id, address: record.address, model: name, version: wanted, lag: wanted - version,
				});
			}
		}
	}

	return outdated
		.toSorted((a, b) => b.lag - a.lag || (a.instanceId < b.instanceId ? -1 : 1))
		.slice(0, Math.max(0, maxAtOnce - busyIds.size))
		.map(({lag: _lag, ...order}) => order);
}
