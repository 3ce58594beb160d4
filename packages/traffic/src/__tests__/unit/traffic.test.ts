import test from 'ava';
import {
	buildRouteTable, CallKind, checkTrafficConfig, chooseTarget, findRoute, type Route, type TrafficConfig,
} from '../../index.js';

const createRoute = (overrides: Partial<Route>): Route => ({
	name: 'r',
	host: 'guides.example',
	pathPrefix: '/works/',
	kind: CallKind.Safe,
	timeoutMs: 1000,
	targetMs: 100,
	priority: 0,
	targets: [{service: 'app', weight: 1}],
	maxAttempts: 2,
	isPublic: false,
	isResumable: false,
	patienceMs: undefined,
	targetGapMs: undefined,
	...overrides,
});

const createConfig = (overrides: Partial<TrafficConfig>): TrafficConfig => ({
	version: 1,
	routes: [createRoute({})],
	services: [{
		name: 'app', healthPath: '/health', maxConnections: 10, engine: undefined, store: undefined,
	}],
	limits: {
		maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
	},
	organisations: [],
	...overrides,
});

test('the longest matching prefix of the host wins, and the query string is ignored', t => {
	const table = buildRouteTable(createConfig({
		routes: [createRoute({name: 'all', pathPrefix: '/'}), createRoute({name: 'works'}), createRoute({name: 'new', pathPrefix: '/works/new/'})],
	}));
	t.is(findRoute(table, 'Guides.example:8005', '/works/new/1')?.name, 'new');
	t.is(findRoute(table, 'guides.example', '/works/newer')?.name, 'works');
	t.is(findRoute(table, 'guides.example', '/works?x=/works/new/')?.name, 'all');
	t.is(findRoute(table, 'other.example', '/works/1'), undefined);
});

test('all findings of a configuration are reported together', t => {
	const findings = checkTrafficConfig(createConfig({
		routes: [
			createRoute({targets: [{service: 'undeclared', weight: 0}], timeoutMs: 0}),
			createRoute({name: 'duplicate'}),
		],
		organisations: [
			{
				name: 'a', keys: ['k'], priority: undefined, isIsolated: false,
			},
			{
				name: 'b', keys: ['k'], priority: undefined, isIsolated: false,
			},
		],
	}));
	t.deepEqual(findings.map(finding => finding.place), ['routes[0]', 'routes[0]', 'routes[0]', 'routes[1]', 'organisations[1]']);
});

test('two organisations that share a key are found though they have the same name, and one that names a key twice is none', t => {
	const organisation = {
		name: 'a', keys: ['k'], priority: undefined, isIsolated: false,
	};
	t.deepEqual(checkTrafficConfig(createConfig({organisations: [organisation, organisation, {...organisation, keys: ['other', 'other']}]})).map(finding => finding.place), ['organisations[1]']);
});

test('targets are chosen in proportion to their weights, and targets with weight 0 never', t => {
	const targets = [{service: 'a', weight: 90}, {service: 'b', weight: 10}, {service: 'c', weight: 0}];
	t.is(chooseTarget(targets, 0.5).service, 'a');
	t.is(chooseTarget(targets, 0.95).service, 'b');
	t.is(chooseTarget(targets, 0.999_999_999_999_999_9).service, 'b');
});
