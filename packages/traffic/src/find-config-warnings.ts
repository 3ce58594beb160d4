import {createFinding, type Finding} from '@fescuestair/core';
import {mergeAllowedRegions} from './regions.js';
import {
	CallKind, type CallerLimits, type Organisation, type Route, type Service, type TrafficConfig,
} from './types.js';

export type WarningOptions = {
	/** What callers may make a gateway hold; infinite by default. */
	readonly maxCallerBytes?: number | undefined;
	/** How many instances services have; those that are not named may have any number. */
	readonly instancesByService?: ReadonlyMap<string, number>;
};

/**
Finds what a valid configuration says in vain or against itself: entries that no request can match, and limits that contradict each other. It is accepted all the same.

@example
```
formatFindings(findConfigWarnings(config)); //=> 'services[2]: no route leads to service "app"; add a route, or leave the service out'
```
*/
export function findConfigWarnings(config: TrafficConfig, {maxCallerBytes = Number.POSITIVE_INFINITY, instancesByService = new Map()}: WarningOptions = {}): readonly Finding[] {
	const services = new Map(config.services.map(service => [service.name, service]));

	return [
		...config.routes.flatMap((route, position) => findRouteWarnings(route, {
			place: `routes[${position}]`, services, organisations: config.organisations, instancesByService,
		})),
		...config.services.flatMap((service, position) => findServiceWarnings(service, `services[${position}]`, config.routes)),
		...config.organisations.flatMap((organisation, position) => findOrganisationWarnings(organisation, `organisations[${position}]`)),
		...findLimitWarnings(config.limits, maxCallerBytes),
	];
}

type RouteContext = {
	readonly place: string; readonly services: ReadonlyMap<string, Service>; readonly organisations: readonly Organisation[]; readonly instancesByService: ReadonlyMap<string, number>;
};

function findRouteWarnings(route: Route, {place, services, organisations, instancesByService}: RouteContext): readonly Finding[] {
	const {host, pathPrefix, timeoutMs, targetMs, maxAttempts, kind, isResumable, isPublic, targets} = route;
	const list = createWarnings(place);

	list.add(host === '', 'no request matches it: its host is empty; name one');
	list.add(/:\d+$/v.test(host), `no request matches it: the port is left out of a request's host, and "${host}" has one; leave it out`);
	list.add(/[?#\s]/v.test(pathPrefix), `no request matches it: a path has no query, fragment or space, and "${pathPrefix}" has; keep the path alone`);
	list.add(targetMs > timeoutMs, `its target of ${targetMs} ms is past its timeout of ${timeoutMs} ms; lower the target or raise the timeout`);
	list.add(maxAttempts > 1 && !canRunAgain(kind, isResumable), `its ${maxAttempts} attempts are never used: its requests run once at most; allow one, or declare that they may run again`);
	list.add(isResumable && kind !== CallKind.Streaming, 'only streams can be resumable; leave that out');

	for (const {service, weight} of targets) {
		list.add(weight < 0, `the weight of service "${service}" is below 0; use 0 or more`);
		list.add(weight === 0, `service "${service}" is never chosen: its weight is 0; leave it out if that is meant`);
		const instances = instancesByService.get(service) ?? Number.POSITIVE_INFINITY;
		list.add(
			canRunAgain(kind, isResumable) && maxAttempts > instances,
			`its ${maxAttempts} attempts are never all used: each goes to another instance, and service "${service}" has ${instances}; allow fewer, or add instances`,
		);
		list.add(services.get(service)?.store !== undefined, `service "${service}" is a store, which serves no requests; name another`);
	}

	for (const organisation of isPublic ? [] : organisations) {
		list.add(
			mergeAllowedRegions(route, organisation)?.length === 0,
			`requests of organisation "${organisation.name}" can be served nowhere: it and the route allow no region in common; add one to either`,
		);
	}

	return list.warnings;
}

function canRunAgain(kind: CallKind, isResumable: boolean): boolean {
	return kind === CallKind.Safe || (kind === CallKind.Streaming && isResumable);
}

function findServiceWarnings({name, maxConnections, engine, store}: Service, place: string, routes: readonly Route[]): readonly Finding[] {
	const list = createWarnings(place);

	if (store !== undefined) {
		list.add(store.capacityTokens <= 0, `store "${name}" has room for nothing; give it a capacity`);

		return list.warnings;
	}

	list.add(!routes.some(({targets}) => targets.some(target => target.service === name && target.weight > 0)), `no route leads to service "${name}"; add a route, or leave the service out`);
	list.add(maxConnections <= 0, `service "${name}" accepts no connections; give it some`);

	if (engine !== undefined) {
		list.add(engine.slots <= 0 || engine.cacheTokens <= 0, `the engines of service "${name}" have no slots, or memory for no token; give them both`);
		list.add(maxConnections > 0 && maxConnections < engine.slots, `service "${name}" accepts ${maxConnections} connections, fewer than its ${engine.slots} slots; allow one for each`);
	}

	return list.warnings;
}

function findOrganisationWarnings({name, keys}: Organisation, place: string): readonly Finding[] {
	const list = createWarnings(place);
	list.add(keys.length === 0, `no request can be of organisation "${name}": it has no key; give it one, or leave it out`);
	list.add(keys.includes(''), `organisation "${name}" has an empty key; leave it out`);
	list.add(new Set(keys).size < keys.length, `organisation "${name}" has a key twice; leave one out`);

	return list.warnings;
}

function findLimitWarnings({maxHeaderBytes, maxBodyBytes, headerTimeoutMs, idleTimeoutMs}: CallerLimits, maxCallerBytes: number): readonly Finding[] {
	const list = createWarnings('limits');
	list.add(maxHeaderBytes <= 0, 'no request has so few bytes of headers; raise the limit');
	list.add(maxBodyBytes <= 0, 'no request with a body is accepted; raise the limit');
	list.add(maxBodyBytes > maxCallerBytes, `bodies may have ${maxBodyBytes} bytes, and a gateway holds ${maxCallerBytes} of all callers together; lower the limit, or give gateways more memory`);
	list.add(headerTimeoutMs <= 0, 'no request can be sent within its time for headers; raise it');
	list.add(idleTimeoutMs <= 0, 'connections are closed as soon as they are idle; raise the time');

	return list.warnings;
}

function createWarnings(place: string) {
	const warnings: Finding[] = [];

	return {
		warnings,
		add(applies: boolean, message: string) {
			if (applies) {
				warnings.push(createFinding(place, message));
			}
		},
	};
}
