import {createFinding, type Finding} from '@fescuestair/core';
import {type Organisation, type Route, type TrafficConfig} from './types.js';

/** Regions in which a request may be served and its data kept, in the order of their names; `undefined` where any will do. */
export type AllowedRegions = readonly string[] | undefined;

/** The region of each availability zone, by the zone's name. */
export type RegionsByZone = ReadonlyMap<string, string>;

/**
Merges the regions that a route and an organisation allow: both bind. Without a common region the list is empty, and the request can be served nowhere.

@example
```
mergeAllowedRegions({allowedRegions: ['east', 'west']}, {allowedRegions: ['west']}); //=> ['west']
```
*/
export function mergeAllowedRegions({allowedRegions: ofRoute}: Pick<Route, 'allowedRegions'>, organisation: Pick<Organisation, 'allowedRegions'> | undefined): AllowedRegions {
	const ofOrganisation = organisation?.allowedRegions;
	const regions = ofRoute ?? ofOrganisation;

	return regions && [...new Set(regions)].filter(region => ofOrganisation?.includes(region) ?? true).toSorted();
}

/**
Creates a check of availability zones: whether their region is allowed. A zone whose region is not known is outside all of them.

@example
```
const isAllowedZone = createZoneFilter(['west'], new Map([['west-1', 'west']]));
isAllowedZone('west-1'); //=> true
```
*/
export function createZoneFilter(allowedRegions: AllowedRegions, regionsByZone: RegionsByZone): (availabilityZone: string) => boolean {
	return availabilityZone => {
		if (allowedRegions === undefined) {
			return true;
		}

		const region = regionsByZone.get(availabilityZone);

		return region !== undefined && allowedRegions.includes(region);
	};
}

/** What is known of a caller that looks up gateways. */
export type GatewayLookup = {
	readonly host: string;
	/** The caller's own region, if it is known. */
	readonly region: string | undefined;
};

/**
Filters the gateways for a caller: those in a region that all routes of the host allow, or in the caller's own region; where there are none, those in a region that one of the routes allows;
and all where there are none of these either, since a caller without a gateway is not served at all. Organisations are not known before a request arrives.

@example
```
filterGateways(cards, {host: 'guides.example', region: 'west'}, {routes, regionsByZone, getZone: card => card.availabilityZone});
```
*/
export function filterGateways<Gateway>(gateways: readonly Gateway[], {host, region: ownRegion}: GatewayLookup, {routes, regionsByZone, getZone}: {
	readonly routes: readonly Route[];
	readonly regionsByZone: RegionsByZone;
	readonly getZone: (gateway: Gateway) => string;
}): readonly Gateway[] {
	const name = host.replace(/:\d+$/v, '').toLowerCase();
	const lists = routes.filter(route => route.host.toLowerCase() === name).flatMap(({allowedRegions}) => allowedRegions === undefined ? [] : [allowedRegions]);

	if (lists.length === 0) {
		return gateways;
	}

	const ownRegions = ownRegion === undefined ? [] : [ownRegion];
	const common = lists[0]!.filter(region => lists.every(list => list.includes(region)));

	for (const regions of [common, lists.flat()]) {
		const isAllowedZone = createZoneFilter([...regions, ...ownRegions], regionsByZone);
		const allowed = gateways.filter(gateway => isAllowedZone(getZone(gateway)));

		if (allowed.length > 0) {
			return allowed;
		}
	}

	return gateways;
}

/**
Checks that the regions that routes and organisations name exist. Where no regions are known, nothing can be said of them. A route and an organisation without a common region are no error:
other organisations may use the route.

@example
```
checkAllowedRegions(config, new Map([['west-1', 'west']]));
```
*/
export function checkAllowedRegions({routes, organisations}: Pick<TrafficConfig, 'routes' | 'organisations'>, regionsByZone: RegionsByZone): readonly Finding[] {
	const known = new Set(regionsByZone.values());

	if (known.size === 0) {
		return [];
	}

	const checkList = (place: string, {allowedRegions = []}: Pick<Route, 'allowedRegions'>) => allowedRegions
		.filter(region => !known.has(region))
		.map(region => createFinding(place, `names region "${region}", which is none of ${[...known].join(', ')}`));

	return [
		...routes.flatMap((route, position) => checkList(`routes[${position}]`, route)),
		...organisations.flatMap((organisation, position) => checkList(`organisations[${position}]`, organisation)),
	];
}
