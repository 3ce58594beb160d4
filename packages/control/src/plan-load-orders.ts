import {MemberStatus, type MemberRecord} from '@fescuestair/membership';
import {UpstreamKind, type UpstreamDetails} from '@fescuestair/protocol';
import {
	ItemKind, listItems, type ModelItem, type PublicState,
} from '@fescuestair/state';

/** An order that makes an engine load another version of a model's weights. */
export type LoadOrder = {
	readonly upstreamId: string;
	readonly address: string;
	readonly model: string;
	readonly weightVersion: string;
};

export type LoadOrderInput = {
	readonly state: PublicState;
	readonly upstreams: readonly MemberRecord[];
	/** Ids of upstreams with a pending order; they get no other order, and count towards the limit of concurrent loads. */
	readonly loadingIds: ReadonlySet<string>;
};

const defaultMaxConcurrentLoads = 2;

/**
Plans the orders that bring engines to the target versions of their models' weights, as configured. At most `maxConcurrentLoads` are
pending at a time, since concurrent loads slow each other down. Every call compares the versions that the engines report with the targets
again, so that an order that was lost, or undone by a delayed earlier one, is repeated.

@example
```
const orders = planLoadOrders({state, upstreams, loadingIds: new Set()});
```
*/
export function planLoadOrders({state, upstreams, loadingIds}: LoadOrderInput): readonly LoadOrder[] {
	const [policy] = listItems(state, ItemKind.UpstreamPolicy);
	const availableLoads = (policy?.maxConcurrentLoads ?? defaultMaxConcurrentLoads) - loadingIds.size;
	const orders = listItems(state, ItemKind.Model).flatMap(model => planOrdersForModel(model, upstreams));

	return orders.filter(order => !loadingIds.has(order.upstreamId)).slice(0, Math.max(0, availableLoads));
}

function planOrdersForModel(model: ModelItem, upstreams: readonly MemberRecord[]): LoadOrder[] {
	return upstreams
		.filter(record => record.status === MemberStatus.Alive && isOutdated(record.details as UpstreamDetails, model))
		.map(record => ({
			upstreamId: record.id, address: record.address, model: model.name, weightVersion: model.weightVersion,
		}));
}

function isOutdated(details: UpstreamDetails, model: ModelItem): boolean {
	return details.kind === UpstreamKind.Engine && details.models.includes(model.name) && details.weightVersion !== model.weightVersion;
}
