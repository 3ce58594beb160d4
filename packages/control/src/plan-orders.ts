import {MemberStatus, type MemberRecord} from '@fescuestair/membership';
import {UpstreamKind, type UpstreamDetails} from '@fescuestair/protocol';
import {
	ItemKind, listItems, type ModelItem, type PublicState,
} from '@fescuestair/state';

/** An order to load other weights. */
export type LoadOrder = {
	readonly upstreamId: string;
	readonly address: string;
	readonly model: string;
	readonly weightVersion: string;
};

export type OrderQuestion = {
	readonly state: PublicState;
	readonly upstreams: readonly MemberRecord[];
	/** Upstreams that have been ordered and do not run the new weights yet. */
	readonly loadingIds: ReadonlySet<string>;
};

const defaultMaxLoads = 2;

/**
Plans the orders that bring engines to the weights that the configuration names: never more at once than it allows, since
more loads slow each other. What the engines announce is compared anew each time, so that an order that was lost, or
undone by an old one, is given again.

@example
```
const orders = planOrders({state, upstreams, loadingIds: new Set()});
```
*/
export function planOrders({state, upstreams, loadingIds}: OrderQuestion): readonly LoadOrder[] {
	const [policy] = listItems(state, ItemKind.UpstreamPolicy);
	const free = (policy?.maxConcurrentLoads ?? defaultMaxLoads) - loadingIds.size;
	const orders = listItems(state, ItemKind.Model).flatMap(model => listOutdated(model, upstreams));

	return orders.filter(order => !loadingIds.has(order.upstreamId)).slice(0, Math.max(0, free));
}

function listOutdated(model: ModelItem, upstreams: readonly MemberRecord[]): LoadOrder[] {
	return upstreams
		.filter(record => record.status === MemberStatus.Alive && isOutdated(record.details as UpstreamDetails, model))
		.map(record => ({
			upstreamId: record.id, address: record.address, model: model.name, weightVersion: model.weightVersion,
		}));
}

function isOutdated(details: UpstreamDetails, model: ModelItem): boolean {
	return details.kind === UpstreamKind.Engine && details.models.includes(model.name) && details.weightVersion !== model.weightVersion;
}
