import test from 'ava';
import {
	CallKind, ChangeKind, checkTrafficConfig, diffConfigs, findConfigWarnings, type Organisation, type Route, type Service, type TrafficConfig,
} from '../../index.js';

const route: Route = {
	name: 'works', host: 'guides.example', pathPrefix: '/works/', kind: CallKind.Safe, timeoutMs: 1000, targetMs: 100, priority: 0, targets: [{service: 'app', weight: 1}],
	maxAttempts: 2, isPublic: false, isResumable: false, patienceMs: undefined, targetGapMs: undefined,
};
const service: Service = {
	name: 'app', healthPath: '/health', maxConnections: 10, engine: undefined, store: undefined,
};
const organisation: Organisation = {
	name: 'o', keys: ['secret-1'], priority: undefined, isIsolated: false,
};
const config: TrafficConfig = {
	version: 1, routes: [route], services: [service], organisations: [organisation],
	limits: {
		maxHeaderBytes: 16_000, maxBodyBytes: 4_000_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
};
const engine = {
	slots: 64, cacheTokens: 77_000, bytesPerToken: 1, linkMegabitsPerSecond: 1, maxEventCalls: 4,
};
const store = {
	address: '10.0.0.1:1', availabilityZone: 'north', capacityTokens: 1000, linkMegabitsPerSecond: 1, firstByteMs: 1, isManaged: false,
};

const listWarnings = (overrides: Partial<TrafficConfig>) => findConfigWarnings({...config, ...overrides}).map(({place, message}) => `${place}: ${message}`);

test('a sound configuration has no warnings', t => {
	t.deepEqual(listWarnings({}), []);
});

const cases: ReadonlyArray<readonly [string, Partial<TrafficConfig>, RegExp]> = [
	['a host with a port', {routes: [{...route, host: 'guides.example:8005'}]}, /^routes\[0\]: no request matches it: the port/v],
	['an empty host', {routes: [{...route, host: ''}]}, /^routes\[0\]: no request matches it: its host is empty/v],
	['a path with a query', {routes: [{...route, pathPrefix: '/works?x=/'}]}, /^routes\[0\]: no request matches it: a path/v],
	['a target past its timeout', {routes: [{...route, targetMs: 1001}]}, /^routes\[0\]: its target of 1001 ms is past its timeout of 1000 ms/v],
	['attempts of an unsafe route', {routes: [{...route, kind: CallKind.Unsafe}]}, /^routes\[0\]: its 2 attempts are never used/v],
	['attempts of a stream that cannot be resumed', {routes: [{...route, kind: CallKind.Streaming}]}, /^routes\[0\]: its 2 attempts are never used/v],
	['a resumable call', {routes: [{...route, isResumable: true}]}, /^routes\[0\]: only streams can be resumable/v],
	['a target that is never chosen', {routes: [{...route, targets: [{service: 'app', weight: 1}, {service: 'app', weight: 0}]}]}, /^routes\[0\]: service "app" is never chosen/v],
	['a weight below 0', {routes: [{...route, targets: [{service: 'app', weight: 2}, {service: 'app', weight: -1}]}]}, /^routes\[0\]: the weight of service "app" is below 0/v],
	['a store as target', {services: [{...service, store}]}, /^routes\[0\]: service "app" is a store/v],
	[
		'regions without a common one',
		{routes: [{...route, allowedRegions: ['east']}], organisations: [{...organisation, allowedRegions: ['west']}]},
		/^routes\[0\]: requests of organisation "o" can be served nowhere/v,
	],
	['a service without a route', {services: [service, {...service, name: 'other'}]}, /^services\[1\]: no route leads to service "other"/v],
	['a service without connections', {services: [{...service, maxConnections: 0}]}, /^services\[0\]: service "app" accepts no connections/v],
	['fewer connections than slots', {services: [{...service, engine}]}, /^services\[0\]: service "app" accepts 10 connections, fewer than its 64 slots/v],
	['engines without memory', {services: [{...service, maxConnections: 100, engine: {...engine, cacheTokens: 0}}]}, /^services\[0\]: the engines of service "app"/v],
	['a store without room', {services: [service, {...service, name: 'keep', store: {...store, capacityTokens: 0}}]}, /^services\[1\]: store "keep" has room for nothing/v],
	['an organisation without a key', {organisations: [{...organisation, keys: []}]}, /^organisations\[0\]: no request can be of organisation "o"/v],
	['an empty key', {organisations: [{...organisation, keys: ['']}]}, /^organisations\[0\]: organisation "o" has an empty key/v],
	['a key twice', {organisations: [{...organisation, keys: ['k', 'k']}]}, /^organisations\[0\]: organisation "o" has a key twice/v],
	['no bytes for headers', {limits: {...config.limits, maxHeaderBytes: 0}}, /^limits: no request has so few bytes of headers/v],
	['no bytes for bodies', {limits: {...config.limits, maxBodyBytes: 0}}, /^limits: no request with a body is accepted/v],
	['no time for headers', {limits: {...config.limits, headerTimeoutMs: 0}}, /^limits: no request can be sent within its time for headers/v],
	['no time to be idle', {limits: {...config.limits, idleTimeoutMs: 0}}, /^limits: connections are closed as soon as they are idle/v],
];

for (const [name, overrides, expected] of cases) {
	test(`${name} is accepted, and is the one warning`, t => {
		t.deepEqual(checkTrafficConfig({...config, ...overrides}), []);
		const warnings = listWarnings(overrides);
		t.is(warnings.length, 1);
		t.regex(warnings[0]!, expected);
	});
}

test('a limit of bodies above what a gateway holds is a warning', t => {
	t.deepEqual(findConfigWarnings(config, {maxCallerBytes: 4_000_000}), []);
	t.regex(findConfigWarnings(config, {maxCallerBytes: 3_999_999})[0]!.message, /^bodies may have 4000000 bytes/v);
});

test('more attempts than a service has instances are a warning, where that number is known', t => {
	const listFor = (count: number, overrides: Partial<Route> = {}) => findConfigWarnings({...config, routes: [{...route, ...overrides}]}, {instancesByService: new Map([['app', count]])});
	t.deepEqual(listFor(2), []);
	t.deepEqual(listFor(1), [{
		place: 'routes[0]', message: 'its 2 attempts are never all used: each goes to another instance, and service "app" has 1; allow fewer, or add instances',
	}]);
	t.is(listFor(1, {kind: CallKind.Streaming, isResumable: true}).length, 1);
});

test('what differs between two configurations is listed by route, service and organisation, and no key is shown', t => {
	const changes = diffConfigs(config, {
		...config,
		version: 2,
		routes: [{...route, name: 'renamed', timeoutMs: 2000}, {...route, name: 'added', pathPrefix: '/added/'}],
		services: [{...service, name: 'app-2'}],
		organisations: [{...organisation, keys: ['secret-2', 'secret-3']}],
		limits: {...config.limits, maxBodyBytes: 5},
	});
	t.deepEqual(changes, [
		{
			kind: ChangeKind.Changed, subject: 'route renamed (guides.example/works/)', fields: [
				{name: 'name', before: 'works', after: 'renamed'}, {name: 'timeoutMs', before: 1000, after: 2000},
			],
		},
		{kind: ChangeKind.Added, subject: 'route added (guides.example/added/)', fields: []},
		{kind: ChangeKind.Removed, subject: 'service app', fields: []},
		{kind: ChangeKind.Added, subject: 'service app-2', fields: []},
		{kind: ChangeKind.Changed, subject: 'organisation o', fields: [{name: 'keys (2 added, 1 withdrawn)', before: 1, after: 2}]},
		{kind: ChangeKind.Changed, subject: 'limits', fields: [{name: 'maxBodyBytes', before: 4_000_000, after: 5}]},
	]);
	t.false(JSON.stringify(changes).includes('secret'));
	t.deepEqual(diffConfigs(config, {...config, version: 2}), []);
});
