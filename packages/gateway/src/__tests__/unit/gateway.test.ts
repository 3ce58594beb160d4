import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {createSystemClock} from '@fescuestair/core';
import {type Hello, type HelloReply} from '@fescuestair/instances';
import {LinkMessageKind} from '@fescuestair/protocol';
import {createLogger, createPrometheusMetrics} from '@fescuestair/runtime';
import {createLinkServer} from '@fescuestair/transport';
import {type TrafficConfig} from '@fescuestair/traffic';
import {createGateway, type CallerCodec, type UpstreamCodec} from '../../index.js';

const config = {
	routes: [], services: [], limits: {
		maxHeaderBytes: 1000, maxBodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000,
	}, organisations: [],
};

test('a configuration that cannot be used leaves the one before in force, and loses no coordinator', async t => {
	let published = {
		revision: 1, configVersion: 1, configText: '1', weights: [],
	};
	const server = await createLinkServer({
		listen: {host: '127.0.0.1', port: 0},
		getKeys: undefined,
		onMessage(message, reply) {
			const {kind, hello} = message as {readonly kind: LinkMessageKind; readonly hello: Hello};

			if (kind === LinkMessageKind.Hello) {
				reply?.({kind: 'hello', reply: {published: hello.publishedRevision < published.revision ? published : undefined, isCurrent: true}});
			}
		},
	});
	const lines: Array<Record<string, unknown>> = [];
	const log = createLogger({
		instance: 'gateway-1', isTerminal: false, writeLine(line) {
			lines.push(JSON.parse(line) as Record<string, unknown>);
		},
	});
	const waitForLine = async (message: string) => {
		while (!lines.some(line => line.message === message)) {
			await sleep(10);
		}
	};

	const gateway = await createGateway({
		name: 'gateway-1', availabilityZone: 'north', linkAddress: '127.0.0.1:0', listen: '127.0.0.1:0', getSeeds: () => [`127.0.0.1:${server.port}`],
		decodeConfig: text => text === '1' ? {...config, version: 1} : undefined as unknown as TrafficConfig,
		callerCodec: {} as unknown as CallerCodec, upstreamCodec: {} as unknown as UpstreamCodec, fetchIncarnation: async () => undefined,
		retryAllowance: {perRequest: 0, slack: 0}, oldWeightsMs: 1000, stopTimeoutMs: 0,
		log, metrics: createPrometheusMetrics(),
	});
	await waitForLine('configuration in force');
	t.true(gateway.isReady());
	published = {
		...published, revision: 2, configVersion: 2, configText: 'of a newer version',
	};
	await waitForLine('configuration cannot be used');
	t.true(gateway.isReady());
	t.like(lines.find(line => line.message === 'configuration cannot be used'), {level: 'error', version: 2, inForce: 1});
	t.deepEqual(lines.filter(line => line.message === 'coordinator lost'), []);
	await gateway.stop();
	await server.close();
});

test('a gateway follows the evacuations that coordinators tell it, whichever order messages arrive in, and is ready only once a current one has', async t => {
	let reply: Record<string, unknown> = {isCurrent: false};
	const server = await createLinkServer({
		listen: {host: '127.0.0.1', port: 0},
		getKeys: undefined,
		onMessage(message, answer) {
			if ((message as {readonly kind: LinkMessageKind}).kind === LinkMessageKind.Hello) {
				answer?.({kind: 'hello', reply});
			}
		},
	});
	const lines: Array<Record<string, unknown>> = [];
	const metrics = createPrometheusMetrics();
	const gateway = await createGateway({
		name: 'gateway-1', availabilityZone: 'north', linkAddress: '127.0.0.1:0', listen: '127.0.0.1:0', getSeeds: () => [`127.0.0.1:${server.port}`],
		decodeConfig: () => ({...config, version: 1}), callerCodec: {} as unknown as CallerCodec, upstreamCodec: {} as unknown as UpstreamCodec, fetchIncarnation: async () => undefined,
		retryAllowance: {perRequest: 0, slack: 0}, oldWeightsMs: 1000, stopTimeoutMs: 0, metrics,
		log: createLogger({
			instance: 'gateway-1', isTerminal: false, writeLine(line) {
				lines.push(JSON.parse(line) as Record<string, unknown>);
			},
		}),
	});
	const listChanges = () => lines.filter(line => line.message === 'evacuations in force').map(({begun, ended}) => ({begun, ended}));

	const waitForChanges = async (count: number) => {
		while (listChanges().length < count) {
			await sleep(10);
		}
	};

	t.false(gateway.isReady());

	const tell = (revision: number, evacuatedZones: readonly string[] | undefined) => {
		reply = {
			isCurrent: true, published: {
				revision, configVersion: 1, configText: '1', weights: [], evacuatedZones,
			},
		};
	};

	tell(3, ['north', 'south']);
	await waitForChanges(1);
	t.true(gateway.isReady());
	tell(2, []);
	await sleep(1200);
	// Older software says nothing of evacuations.
	tell(4, undefined);
	await sleep(1200);
	t.regex(await metrics.renderText(), /zones_evacuated 2/v);
	tell(5, ['north']);
	await waitForChanges(2);
	t.deepEqual(listChanges(), [{begun: ['north', 'south'], ended: []}, {begun: [], ended: ['south']}]);
	t.regex(await metrics.renderText(), /zones_evacuated 1/v);
	await gateway.stop();
	await server.close();
});

type Told = Partial<Pick<HelloReply, 'isCurrent' | 'stateAgeMs'>> & {readonly version: number};

/** A gateway whose only coordinator says what the test tells it to; `undefined` where it does not answer. Version 2 cannot be used. */
const openGateway = async (t: ExecutionContext, listen: string, first: Told) => {
	let told: Told | undefined = first;
	let passedMs = 0;
	const server = await createLinkServer({
		listen: {host: '127.0.0.1', port: 0},
		getKeys: undefined,
		onMessage(message, reply) {
			const {kind, hello} = message as {readonly kind: LinkMessageKind; readonly hello: Hello};

			if (kind !== LinkMessageKind.Hello || told === undefined) {
				return;
			}

			const {version, ...state} = told;
			reply?.({
				kind: 'hello', reply: {
					isCurrent: true, stateAgeMs: 0, ...state,
					published: hello.publishedRevision < version
						? {
							revision: version, configVersion: version, configText: String(version), weights: [],
						}
						: undefined,
				},
			});
		},
	});
	const lines: Array<Record<string, unknown>> = [];
	const clock = createSystemClock();
	const gateway = await createGateway({
		name: 'gateway-1', availabilityZone: 'north', linkAddress: '127.0.0.1:0', listen, getSeeds: () => [`127.0.0.1:${server.port}`],
		decodeConfig: text => text === '2' ? undefined as unknown as TrafficConfig : {...config, version: Number(text)},
		callerCodec: {decodeRequest: () => ({requestId: 'r-1'})} as unknown as CallerCodec, upstreamCodec: {} as unknown as UpstreamCodec, fetchIncarnation: async () => undefined,
		retryAllowance: {perRequest: 0, slack: 0}, oldWeightsMs: 1000, stopTimeoutMs: 0, metrics: createPrometheusMetrics(),
		clock: {...clock, readMonotonicMs: () => clock.readMonotonicMs() + passedMs},
		log: createLogger({
			instance: 'gateway-1', isTerminal: false, writeLine(line) {
				lines.push(JSON.parse(line) as Record<string, unknown>);
			},
		}),
	});
	t.teardown(async () => {
		await gateway.stop();
		await server.close();
	});

	return {
		/** Sends a request for which there is no route. */
		async sendRequest() {
			const {status, headers} = await fetch(`http://${listen}/`);

			return {status, hasReturn: headers.has('retry-after')};
		},
		async waitForLine(message: string, version: number) {
			while (!lines.some(line => line.message === message && line.version === version)) {
				await sleep(10);
			}
		},
		tell(next: Told | undefined) {
			told = next;
		},
		passTime(ms: number) {
			passedMs += ms;
		},
	};
};

const refusal = {status: 503, hasReturn: true};

// Issue 67: one confirmation was believed for ever.
test('a request without a route is refused for good only while it is known that no newer configuration adds one', async t => {
	const gateway = await openGateway(t, '127.0.30.1:17803', {version: 1});
	await gateway.waitForLine('configuration confirmed', 1);
	t.like(await gateway.sendRequest(), {status: 404});
	gateway.tell(undefined);
	gateway.passTime(30_000);
	t.deepEqual(await gateway.sendRequest(), refusal);
});

test('a coordinator that has not known the newest configuration for long confirms none', async t => {
	const gateway = await openGateway(t, '127.0.30.2:17803', {version: 1, stateAgeMs: 30_000});
	await gateway.waitForLine('configuration in force', 1);
	await sleep(300);
	t.deepEqual(await gateway.sendRequest(), refusal);
});

test('what a configuration does not allow is not refused for good while a newer one cannot be used', async t => {
	const gateway = await openGateway(t, '127.0.30.3:17803', {version: 1});
	await gateway.waitForLine('configuration confirmed', 1);
	gateway.tell({version: 2});
	await gateway.waitForLine('configuration cannot be used', 2);
	t.deepEqual(await gateway.sendRequest(), refusal);
	gateway.tell({version: 3});
	await gateway.waitForLine('configuration confirmed', 3);
	t.like(await gateway.sendRequest(), {status: 404});
});
