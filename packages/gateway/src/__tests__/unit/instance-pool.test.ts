import http from 'node:http';
import {once} from 'node:events';
import test, {type ExecutionContext} from 'ava';
import {createManualClock} from '@fescuestair/core';
import {InstanceStage, type InstanceRecord, type InstanceRegistry} from '@fescuestair/instances';
import {HealthEvent} from '@fescuestair/routing';
import {createLogger, createPrometheusMetrics} from '@fescuestair/runtime';
import {createInstancePool} from '../../instance-pool.js';
import {type InFlightRequest} from '../../pooled-instance.js';

const createRecord = (id: string, overrides: Partial<InstanceRecord> = {}): InstanceRecord => ({
	id, service: 'app', address: `127.0.0.1:${id.at(-1)}`, availabilityZone: 'north', slots: 6, stage: InstanceStage.Ready, coldLeftMs: 0, models: [],
	incarnation: 1, sequence: 1, ...overrides,
});

const openPool = (t: ExecutionContext, count: number) => {
	const clock = createManualClock();
	const left: string[] = [];
	const evacuated = new Set<string>();
	const lines: string[] = [];
	let check: () => void = () => undefined;
	const pool = createInstancePool({
		clock,
		metrics: createPrometheusMetrics(),
		getMaxConnections: () => 4,
		getLimitedUntilMs: () => Number.NEGATIVE_INFINITY,
		isZoneEvacuated: zone => evacuated.has(zone),
		onWorkChange: () => undefined,
		repeat(callback) {
			check = callback;

			return () => undefined;
		},
		onLeaving({id}) {
			left.push(id);
		},
		log: createLogger({
			instance: 'test', isTerminal: false, writeLine(line) {
				lines.push(line);

				return true;
			},
		}),
	});
	t.teardown(() => {
		pool.stop();
	});
	const records = new Map(Array.from({length: count}, (_, index) => [`i-${index}`, createRecord(`i-${index}`)]));

	const announce = (...changed: readonly InstanceRecord[]) => {
		for (const record of changed) {
			records.set(record.id, record);
		}

		const held: InstanceRegistry['held'] = new Map([...records].map(([id, record]) => [id, {
			record, heardAtMs: clock.readMonotonicMs(), revision: 1, loadingDeadlineMs: 0,
		}]));
		pool.applyRegistry({held, revision: 1});
	};

	announce();

	return {
		pool, clock, left, lines, evacuated, announce, check() {
			check();
		}, listAvailable: () => pool.listAvailable('app').map(instance => instance.held.record.id),
	};
};

test('when half of the instances request a back-off and the others are full, only the full ones are available until the back-off ends', t => {
	const {pool, clock, announce, listAvailable} = openPool(t, 8);

	for (let index = 0; index < 8; index++) {
		pool.recordRefusal(pool.get(`i-${index}`)!, index < 4 ? 2500 : undefined);
	}

	t.deepEqual(listAvailable(), ['i-4', 'i-5', 'i-6', 'i-7']);
	t.deepEqual(pool.countStandings('app'), {resting: 4, full: 4});

	for (let passedMs = 0; passedMs < 2500; passedMs += 100) {
		announce();
		t.false(listAvailable().some(id => ['i-0', 'i-1', 'i-2', 'i-3'].includes(id)));
		clock.advance(100);
	}

	t.is(listAvailable().length, 8);
});

test('while all instances back off, none is available and the earliest end of a back-off is known', t => {
	const {pool, clock, announce, listAvailable} = openPool(t, 3);

	for (const [index, restMs] of [2500, 900, 4000].entries()) {
		pool.recordRefusal(pool.get(`i-${index}`)!, restMs);
	}

	t.deepEqual(listAvailable(), []);
	t.is(pool.findRestEndMs('app'), clock.readMonotonicMs() + 900);
	clock.advance(900);
	announce();
	t.deepEqual(listAvailable(), ['i-1']);
});

test('an invalid back-off is logged and has no lasting effect', t => {
	const {pool, clock, lines, listAvailable} = openPool(t, 1);
	pool.recordRefusal(pool.get('i-0')!, Number.NaN);
	t.true(lines.some(line => line.includes('instance asks for a rest that cannot be meant')));
	clock.advance(200);
	t.deepEqual(listAvailable(), ['i-0']);
	t.is(pool.findRestEndMs('app'), undefined);
});

test('a reported leaving outlasts heartbeats and answers, is reported once, and ends with the next incarnation', t => {
	const {pool, left, announce, listAvailable} = openPool(t, 2);
	const instance = pool.get('i-0')!;
	pool.recordLeaving(instance, createRecord('i-0'));
	pool.recordLeaving(instance, createRecord('i-0'));
	t.deepEqual(left, ['i-0']);
	announce(createRecord('i-0', {sequence: 2}));
	pool.recordActivity(instance);
	pool.recordHealthEvent(instance, HealthEvent.Answered);
	t.deepEqual(listAvailable(), ['i-1']);
	announce(createRecord('i-0', {incarnation: 2}));
	t.deepEqual(listAvailable(), ['i-0', 'i-1']);

	// A late answer of the previous incarnation.
	pool.recordLeaving(pool.get('i-0')!, createRecord('i-0'));
	t.deepEqual(listAvailable(), ['i-0', 'i-1']);
});

const createRequest = (overrides: Partial<InFlightRequest> = {}): InFlightRequest => ({
	startedAtMs: 0, uncachedTokens: 0, workMs: 0, expectedMs: 10, heldTokens: 0, silenceTimeoutMs: 800, getReadingSinceMs: () => 0, onSilence: () => undefined, ...overrides,
});

test('the calls since an instance was asked again are counted for each service', t => {
	const {pool} = openPool(t, 2);
	const instance = pool.get('i-0')!;
	t.is(pool.getCallsSinceRevisit('app'), Number.POSITIVE_INFINITY);
	pool.begin(instance, createRequest());
	t.is(pool.getCallsSinceRevisit('app'), Number.POSITIVE_INFINITY);
	pool.begin(instance, createRequest({isRevisit: true}));
	t.is(pool.getCallsSinceRevisit('app'), 0);
	pool.begin(instance, createRequest());
	t.is(pool.getCallsSinceRevisit('app'), 1);
	t.is(pool.getCallsSinceRevisit('other'), Number.POSITIVE_INFINITY);
});

test('an instance that was silent gets requests again with the first bytes that it sends', t => {
	const {pool, clock, announce, listAvailable} = openPool(t, 2);
	const instance = pool.get('i-0')!;
	const request = createRequest();
	pool.begin(instance, request);
	clock.advance(900);
	t.true(pool.isSilent(instance, request));
	pool.recordHealthEvent(instance, HealthEvent.TimedOut);
	announce();
	t.deepEqual(listAvailable(), ['i-1']);
	clock.advance(400);
	pool.recordActivity(instance);
	t.false(pool.isSilent(instance, request));
	t.deepEqual(listAvailable(), ['i-0', 'i-1']);
});

// Guards against giving up a run because its caller is slow to read.
test('an instance is not silent while the gateway does not read, and only so long after it reads again', t => {
	const {pool, clock} = openPool(t, 1);
	const instance = pool.get('i-0')!;
	let readingSinceMs: number | undefined = clock.readMonotonicMs();
	const request = createRequest({getReadingSinceMs: () => readingSinceMs});
	pool.begin(instance, request);
	readingSinceMs = undefined;
	clock.advance(2500);
	t.is(pool.measureSilenceMs(instance, request), 0);
	readingSinceMs = clock.readMonotonicMs();
	clock.advance(700);
	t.is(pool.measureSilenceMs(instance, request), 700);
});

// Guards against giving up requests that go on because of an announcement: an instance may have got them after it restarted.
for (const [description, change] of [
	['at another address', {address: '127.0.0.1:9', sequence: 2}],
	['with another incarnation', {incarnation: 2}],
] as const) {
	test(`a request ends whole at an instance that was announced ${description} while it was running, and its connection is not used again`, async t => {
		const {pool, announce} = openPool(t, 1);
		let connections = 0;
		const server = http.createServer((_request, response) => {
			setTimeout(() => {
				response.end('whole');
			}, 100);
		});
		server.on('connection', () => {
			connections++;
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		t.teardown(() => {
			server.close();
			server.closeAllConnections();
		});
		const {port} = server.address() as {readonly port: number};
		const ask = async (agent: http.Agent) => new Promise<string>((resolve, reject) => {
			http.get({host: '127.0.0.1', port, agent}, response => {
				let body = '';
				response.on('data', (bytes: Uint8Array) => {
					body += String(bytes);
				});
				response.on('end', () => {
					resolve(body);
				});
			}).on('error', reject);
		});
		const before = pool.get('i-0')!;
		const request = createRequest();
		const answers: Array<Promise<string>> = [];
		pool.begin(before, request);
		answers.push(ask(before.agent));
		announce(createRecord('i-0', change));
		const after = pool.get('i-0')!;
		t.not(after, before);
		answers.push(ask(after.agent));
		t.deepEqual(await Promise.all(answers), ['whole', 'whole']);
		pool.end(before, request);
		t.is(await ask(before.agent), 'whole');
		t.is(connections, 3);
		t.is(await ask(after.agent), 'whole');
		t.is(connections, 3);
	});
}

// Guards against taking the time in which the process itself stood still, as when its machine was frozen, for a silence of all instances.
test('instances are not silent for the time in which the gateway itself stood still', t => {
	const {pool, clock, check, listAvailable} = openPool(t, 3);
	const silent: number[] = [];
	const requests = listAvailable().map((id, index) => {
		const instance = pool.get(id)!;
		const request = createRequest({
			onSilence() {
				silent.push(index);
			},
		});
		pool.begin(instance, request);

		return {instance, request};
	});

	clock.advance(100);
	check();
	clock.advance(1500);
	check();
	t.deepEqual(silent, []);
	t.is(listAvailable().length, 3);
	t.true(requests.every(({instance, request}) => !pool.isSilent(instance, request)));

	for (let passedMs = 0; passedMs < 700; passedMs += 100) {
		t.deepEqual(silent, []);
		clock.advance(100);
		check();
	}

	clock.advance(100);
	check();
	t.deepEqual(silent, [0, 1, 2]);
});

test('a silent instance is noticed although each check is late', t => {
	const {pool, clock, check} = openPool(t, 1);
	let silences = 0;
	pool.begin(pool.get('i-0')!, createRequest({
		onSilence() {
			silences++;
		},
	}));

	for (let passedMs = 0; passedMs < 20_000; passedMs += 250) {
		clock.advance(250);
		check();
	}

	t.true(silences > 0);
});

test('after its back-off an instance gets a trial request beside a run that is kept', t => {
	const {pool, clock, check, listAvailable} = openPool(t, 1);
	pool.begin(pool.get('i-0')!, createRequest());

	for (let passedMs = 0; passedMs < 5000; passedMs += 100) {
		clock.advance(100);
		check();
	}

	t.deepEqual(listAvailable(), ['i-0']);
});

test('nothing is sent to the instances of an evacuated zone, in whatever state they are, until that ends', t => {
	const {pool, evacuated, announce, listAvailable} = openPool(t, 3);
	const any = () => true;
	announce(createRecord('i-0', {availabilityZone: 'south'}), createRecord('i-1', {availabilityZone: 'south', stage: InstanceStage.Draining}));
	t.deepEqual(listAvailable(), ['i-0', 'i-2']);
	evacuated.add('south');
	t.deepEqual(listAvailable(), ['i-2']);
	t.is(pool.findSendable(pool.get('i-0')!.held.record), undefined);
	t.false(pool.hasServing('app', ({held}) => held.record.availabilityZone === 'south'));
	t.deepEqual(pool.countStandings('app'), {evacuated: 1, leaving: 1, ready: 1});
	t.is(pool.countOnlyEvacuated('app', any), undefined);
	t.deepEqual(pool.countOnlyEvacuated('app', ({held}) => held.record.id !== 'i-2'), {south: 1});
	t.is(pool.countOnlyEvacuated('app', ({held}) => held.record.id === 'i-1'), undefined);
	pool.recordRefusal(pool.get('i-0')!, 500);
	t.is(pool.findRestEndMs('app'), undefined);
	evacuated.clear();
	announce();
	t.deepEqual(listAvailable(), ['i-2']);
	t.not(pool.findRestEndMs('app'), undefined);
	t.true(pool.hasServing('app', ({held}) => held.record.availabilityZone === 'south'));
});

test('what others sent while this process stood still is not added as if it were new', t => {
	const {pool, clock, check} = openPool(t, 2);
	const getBusyMs = () => pool.get('i-1')!.load.work.busyUntilMs - clock.readMonotonicMs();
	pool.begin(pool.get('i-0')!, createRequest());
	clock.advance(100);
	check();
	pool.addPeerWork([['i-1', 200, 0]]);
	t.is(getBusyMs(), 200);
	t.is(pool.measureViewAgeMs(), 0);
	const unseenBefore = pool.estimateUnseenRequests('app', 9);
	clock.advance(1000);
	check();
	pool.addPeerWork([['i-1', 900, 0]]);
	pool.recordPeerPaces([['i-1', 2.5]]);
	t.is(getBusyMs(), -800);
	t.is(pool.get('i-1')!.load.pace, undefined);
	t.is(pool.measureViewAgeMs(), 1000);
	t.true(pool.estimateUnseenRequests('app', 9) > 10 * unseenBefore);
	clock.advance(100);
	check();
	pool.addPeerWork([['i-1', 300, 0]]);
	t.is(getBusyMs(), 300);
});

test('other gateways are told that an instance is slow, and that it is no longer; what it told here is newer than what it told them', t => {
	const {pool, clock} = openPool(t, 2);
	const report = (slowdown?: number) => {
		pool.recordLoad(pool.get('i-0')!, {
			running: 1, waiting: 0, slots: 6, slowdown,
		});

		return pool.takeUnsentPaces();
	};

	t.deepEqual(report(1), []);
	t.deepEqual(report(2.5), [['i-0', 2.5]]);
	t.deepEqual(pool.takeUnsentPaces(), []);
	t.deepEqual(report(), []);
	t.is(pool.get('i-0')!.load.pace?.slowdown, 2.5);
	t.deepEqual(report(1), [['i-0', 1]]);
	pool.recordPeerPaces([['i-0', 2.5], ['i-1', 2.5], ['unknown', 2.5]]);
	t.is(pool.get('i-0')!.load.pace?.slowdown, 1);
	t.is(pool.get('i-1')!.load.pace?.slowdown, 2.5);
	clock.advance(100);
	pool.recordPeerPaces([['i-0', 2.5]]);
	t.is(pool.get('i-0')!.load.pace?.slowdown, 2.5);
});

test('the spread of a service is that of the requests of all gateways', t => {
	const {pool} = openPool(t, 4);
	t.deepEqual(pool.computeSpreads(), [['app', 1]]);
	pool.begin(pool.get('i-0')!, createRequest());
	pool.setPeerLoads(new Map([['i-0', {requests: 2, heldTokens: 0}], ['i-1', {requests: 3, heldTokens: 0}]]));
	t.deepEqual(pool.computeSpreads(), [['app', 2]]);
});
