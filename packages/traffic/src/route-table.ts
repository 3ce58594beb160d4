import {
	type Organisation, type Route, type RouteTarget, type Service, type StoreSettings, type TrafficConfig,
} from './types.js';

/** A configuration indexed for look-ups. */
export type RouteTable = {
	readonly config: TrafficConfig;
	/** By host in lower case, then by path prefix. */
	readonly routes: ReadonlyMap<string, ReadonlyMap<string, Route>>;
	readonly services: ReadonlyMap<string, Service>;
	/** Settings of all services that are stores. */
	readonly stores: readonly StoreSettings[];
	readonly organisationsByKey: ReadonlyMap<string, Organisation>;
};

/**
Indexes a configuration for matching requests.

@example
```
const table = buildRouteTable(config);
```
*/
export function buildRouteTable(config: TrafficConfig): RouteTable {
	const routes = new Map<string, Map<string, Route>>();

	for (const route of config.routes) {
		const host = route.host.toLowerCase();
		const prefixes = routes.get(host) ?? new Map<string, Route>();
		prefixes.set(route.pathPrefix, route);
		routes.set(host, prefixes);
	}

	return {
		config,
		routes,
		services: new Map(config.services.map(service => [service.name, service])),
		stores: config.services.flatMap(service => service.store === undefined ? [] : [service.store]),
		organisationsByKey: new Map(config.organisations.flatMap(organisation => organisation.keys.map(key => [key, organisation]))),
	};
}

/**
Finds the route with the longest matching path prefix. The query string is ignored.

@example
```
findRoute(table, 'guides.example', '/works/42?full=1')?.name; //=> 'works'
```
*/
export function findRoute(table: RouteTable, host: string, target: string): Route | undefined {
	const prefixes = table.routes.get(host.replace(/:\d+$/v, '').toLowerCase());
	const path = target.split('?', 1)[0]!;

	if (prefixes === undefined) {
		return undefined;
	}

	for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
		const route = prefixes.get(path.slice(0, end + 1));

		if (route !== undefined) {
			return route;
		}
	}

	return undefined;
}

/**
Chooses a target in proportion to the weights; `draw` is a random number, at least 0 and less than 1.

@example
```
chooseTarget(route.targets, Math.random()).service;
```
*/
export function chooseTarget(targets: readonly RouteTarget[], draw: number): RouteTarget {
	let remainingWeight = draw * sumWeights(targets);

	for (const target of targets) {
		remainingWeight -= target.weight;

		if (remainingWeight < 0) {
			return target;
		}
	}

	return targets.findLast(target => target.weight > 0)!;
}

export function sumWeights(targets: readonly RouteTarget[]): number {
	let sum = 0;

	for (const target of targets) {
		sum += target.weight;
	}

	return sum;
}
