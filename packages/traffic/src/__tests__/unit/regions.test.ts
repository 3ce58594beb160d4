import test from 'ava';
import {
	CallKind, checkAllowedRegions, createZoneFilter, filterGateways, mergeAllowedRegions, type Route,
} from '../../index.js';

const regionsByZone = new Map([['east-1', 'east'], ['west-1', 'west'], ['west-2', 'west'], ['south-1', 'south']]);

const createRoute = (allowedRegions?: readonly string[], host = 'h.example'): Route => ({
	name: 'r', host, pathPrefix: '/', kind: CallKind.Safe, timeoutMs: 1000, targetMs: 100, priority: 0, targets: [], maxAttempts: 1, isPublic: true, isResumable: false,
	patienceMs: undefined, targetGapMs: undefined, allowedRegions,
});

test('the regions of the route and of the organisation both bind', t => {
	t.is(mergeAllowedRegions({}, undefined), undefined);
	t.is(mergeAllowedRegions({}, {}), undefined);
	t.deepEqual(mergeAllowedRegions({allowedRegions: ['west', 'east', 'west']}, {}), ['east', 'west']);
	t.deepEqual(mergeAllowedRegions({}, {allowedRegions: ['west']}), ['west']);
	t.deepEqual(mergeAllowedRegions({allowedRegions: ['west', 'east']}, {allowedRegions: ['south', 'west']}), ['west']);
	t.deepEqual(mergeAllowedRegions({allowedRegions: ['east']}, {allowedRegions: ['west']}), []);
});

test('a zone of an unknown region is outside all regions, and without allowed regions any zone will do', t => {
	const isAllowed = createZoneFilter(['west'], regionsByZone);
	t.deepEqual(['west-2', 'east-1', 'elsewhere'].map(zone => isAllowed(zone)), [true, false, false]);
	t.true(createZoneFilter(undefined, regionsByZone)('elsewhere'));
	t.false(createZoneFilter([], regionsByZone)('west-1'));
});

test('callers are named gateways in regions that the routes of their host allow, or in their own', t => {
	const zones = ['east-1', 'west-1', 'west-2', 'south-1', 'elsewhere'];
	const list = (routes: readonly Route[], region?: string, names = zones) => filterGateways(names, {host: 'H.example:80', region}, {routes, regionsByZone, getZone: zone => zone});
	t.is(list([createRoute(), createRoute(['west'], 'other.example')]), zones);
	t.deepEqual(list([createRoute(['west'])]), ['west-1', 'west-2']);
	t.deepEqual(list([createRoute(['west'])], 'south'), ['west-1', 'west-2', 'south-1']);
	t.deepEqual(list([createRoute(['west', 'east']), createRoute(), createRoute(['east'])]), ['east-1']);
	// Routes without a common region: those of one of them.
	t.deepEqual(list([createRoute(['west']), createRoute(['east'])]), ['east-1', 'west-1', 'west-2']);
	t.deepEqual(list([createRoute(['west']), createRoute(['east'])], 'south'), ['south-1']);
	t.deepEqual(list([createRoute(['west'])], undefined, ['east-1', 'south-1']), ['east-1', 'south-1']);
});

test('regions that do not exist are found with their place, where any are known', t => {
	const config = {
		routes: [createRoute(['west']), createRoute(['west', 'north'])],
		organisations: [{
			name: 'o', keys: [], priority: undefined, isIsolated: false, allowedRegions: ['far'],
		}],
	};
	t.deepEqual(checkAllowedRegions(config, regionsByZone).map(({place, message}) => `${place}: ${message}`), [
		'routes[1]: names region "north", which is none of east, west, south', 'organisations[0]: names region "far", which is none of east, west, south',
	]);
	t.deepEqual(checkAllowedRegions(config, new Map()), []);
});
