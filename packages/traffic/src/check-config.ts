import {createFinding, type Finding} from '@fescuestair/core';
import {sumWeights} from './route-table.js';
import {type Organisation, type Route, type TrafficConfig} from './types.js';

/**
Checks a configuration for consistency and reports all findings together, each with its location.

@example
```
checkTrafficConfig(config).map(finding => finding.message); //=> ['names service "prompts", which is not declared']
```
*/
export function checkTrafficConfig(config: TrafficConfig): readonly Finding[] {
	const services = new Set(config.services.map(service => service.name));

	return [
		...config.routes.flatMap((route, position) => checkRoute(route, `routes[${position}]`, services)),
		...findDuplicateRoutes(config.routes),
		...findSharedOrganisationKeys(config.organisations),
	];
}

function checkRoute(route: Route, place: string, services: ReadonlySet<string>): readonly Finding[] {
	const findings: Finding[] = [];

	for (const {service} of route.targets) {
		if (!services.has(service)) {
			findings.push(createFinding(place, `names service "${service}", which is not declared`));
		}
	}

	if (sumWeights(route.targets) <= 0) {
		findings.push(createFinding(place, 'the weights of its targets add up to 0'));
	}

	if (route.timeoutMs <= 0) {
		findings.push(createFinding(place, 'its timeout must be more than 0 ms'));
	}

	if (!route.pathPrefix.startsWith('/') || !route.pathPrefix.endsWith('/')) {
		findings.push(createFinding(place, `path prefix "${route.pathPrefix}" must begin and end with a slash`));
	}

	return findings;
}

function findDuplicateRoutes(routes: readonly Route[]): readonly Finding[] {
	const seen = new Map<string, number>();
	const findings: Finding[] = [];

	for (const [position, route] of routes.entries()) {
		const key = `${route.host.toLowerCase()} ${route.pathPrefix}`;
		const first = seen.get(key);

		if (first === undefined) {
			seen.set(key, position);
		} else {
			findings.push(createFinding(`routes[${position}]`, `has the host and path prefix of routes[${first}]`));
		}
	}

	return findings;
}

function findSharedOrganisationKeys(organisations: readonly Organisation[]): readonly Finding[] {
	/** Position of the first organisation that holds each key; two of them may have the same name. */
	const owners = new Map<string, number>();
	const findings: Finding[] = [];

	for (const [position, {keys}] of organisations.entries()) {
		for (const key of keys) {
			const owner = owners.get(key);

			if (owner !== undefined && owner !== position) {
				findings.push(createFinding(`organisations[${position}]`, `shares a key with organisations[${owner}], "${organisations[owner]!.name}"`));
			}

			owners.set(key, owner ?? position);
		}
	}

	return findings;
}
