import {type IncomingMessage, type ServerResponse} from 'node:http';
import {Buffer} from 'node:buffer';
import test, {type ExecutionContext} from 'ava';
import {createSystemClock} from '@fescuestair/core';
import {InstanceStage, type RegisteredInstance} from '@fescuestair/instances';
import {applyPartsReply, createPartsView, formatSalt} from '@fescuestair/parts';
import {chooseInstance} from '@fescuestair/routing';
import {createLogger, createPrometheusMetrics} from '@fescuestair/runtime';
import {CallKind, type Service, type StoreSettings} from '@fescuestair/traffic';
import {chooseInstanceForRequest} from '../../choose-place.js';
import {type Exchange} from '../../exchange.js';
import {type ForwardOptions} from '../../forward-options.js';
import {createInstancePool} from '../../instance-pool.js';
import {WeightsUse} from '../../target-version-history.js';

const service: Service = {
	name: 'engines', healthPath: '/health', maxConnections: 100, store: undefined,
	engine: {
		slots: 16, cacheTokens: 77_000, bytesPerToken: 160_000, linkMegabitsPerSecond: 100_000, maxEventCalls: 4,
	},
};

const createHeld = (id: string, version: number, models = [{name: 'guide', version}]): RegisteredInstance => ({
	heardAtMs: performance.now(), revision: 1, loadingDeadlineMs: 0,
	record: {
		id, service: service.name, address: `127.0.0.1:${9000 + version}`, availabilityZone: 'north', slots: 16, stage: InstanceStage.Ready, coldLeftMs: 0,
		models, incarnation: 1, sequence: 1,
	},
});

// Creates a gateway with two engines, on versions 1 and 2 of the weights; the test supplies the judgement of each version.
const openGateway = (t: ExecutionContext, classifyWeights: ForwardOptions['classifyWeights'], {stores = [], view = createPartsView(), gateways = 1}: {
	readonly gateways?: number; readonly stores?: readonly StoreSettings[]; readonly view?: ReturnType<typeof createPartsView>;
} = {}) => {
	const clock = createSystemClock();
	const log = createLogger({instance: 'test', isTerminal: false, writeLine: () => true});
	const instancePool = createInstancePool({
		clock, log, metrics: createPrometheusMetrics(), getMaxConnections: () => 10, getLimitedUntilMs: () => Number.NEGATIVE_INFINITY, onWorkChange: () => undefined, onLeaving: () => undefined,
	});
	instancePool.applyRegistry({held: new Map([1, 2].map(version => [`i-${version}`, createHeld(`i-${version}`, version)])), revision: 1});
	t.teardown(() => {
		instancePool.stop();
	});
	const options = {
		clock, instancePool, availabilityZone: 'north', classifyWeights, chooseInstance,
		parts: {
			getView: () => view, pollHome: () => undefined, recordUse: () => undefined, recordSave: () => undefined, countPendingTokens: () => 0,
			isBeingSaved: () => false, stop: () => undefined,
		},
		countGateways: () => gateways, getTable: () => ({stores}), regionsByZone: new Map([['north', 'east'], ['south', 'west']]), listTargetModels: () => ['guide'],
		findNewerTarget: (model: string, version: number | undefined) => classifyWeights(model, version, Number.POSITIVE_INFINITY) === WeightsUse.Current ? undefined : {},
	} as unknown as ForwardOptions;

	return {
		instancePool, choose: (partId?: string, organisation?: Exchange['organisation']) => chooseInstanceForRequest(options, {...createExchange(partId), organisation}, {
			service, progress: {
				sentCount: 0, refused: 0, waits: 0, permitRefusals: 0, permit: undefined, isTrial: false, triedInstanceIds: new Set(), isEligible: () => true, story: [],
			},
		}),
	};
};

const createExchange = (partId?: string): Exchange => ({
	requestId: 'r1', request: {} as unknown as IncomingMessage, response: {} as unknown as ServerResponse, organisation: undefined, body: Buffer.alloc(0),
	startedAtMs: 0, deadlineMs: 4000,
	route: {kind: CallKind.Streaming} as unknown as Exchange['route'],
	caller: {
		requestId: 'r1', timeLeftMs: 4000, key: undefined, lastEventId: undefined, resumedRequestId: undefined,
		prompt: partId === undefined
			? undefined
			: {
				model: 'guide', promptTokens: 380, maxOutputTokens: 20, expectedOutputTokens: undefined,
				parts: [{id: partId, tokens: 300}, {id: `${partId}-own`, tokens: 80}],
			},
	},
});

const partIds = Array.from({length: 40}, (_, index) => `part-${index}`);

test('an engine on outdated weights is chosen only if the others cost more than the penalty for outdated weights', t => {
	const {choose, instancePool} = openGateway(t, (_model, version) => version === 1 ? WeightsUse.Late : WeightsUse.Current);
	t.deepEqual([...new Set(partIds.map(id => choose(id)?.entry.held.record.id))], ['i-2']);

	const newer = instancePool.get('i-2')!;
	instancePool.addPeerWork([[newer.held.record.id, 1000, 0]]);
	t.deepEqual([...new Set(partIds.map(id => choose(id)?.entry.held.record.id))], ['i-1']);
});

test('engines on barred weights are never chosen, and those on current weights are chosen alike', t => {
	const {choose} = openGateway(t, (_model, version) => version === 1 ? WeightsUse.Barred : WeightsUse.Current);
	t.deepEqual([...new Set(partIds.map(id => choose(id)?.entry.held.record.id))], ['i-2']);

	const equals = openGateway(t, () => WeightsUse.Current);
	t.is(new Set(partIds.map(id => equals.choose(id)?.entry.held.record.id)).size, 2);
});

test('an engine on older weights is not chosen if its queue delays the start beyond the deadline for those weights', t => {
	const {choose, instancePool} = openGateway(t, (_model, version, startMs = 0) => {
		if (version !== 1) {
			return WeightsUse.Current;
		}

		return startMs >= 1000 ? WeightsUse.Barred : WeightsUse.Late;
	});
	// Both engines have long queues, with the longer one at the engine on newer weights.
	instancePool.addPeerWork([['i-1', 600, 0], ['i-2', 3000, 0]]);
	t.deepEqual([...new Set(partIds.map(id => choose(id)?.entry.held.record.id))], ['i-2']);
});

// Issue 57: what is not known of a request or of an engine counted as current.
test('a request that names no model is not sent to engines on barred weights, nor to those that name no model', t => {
	const {choose, instancePool} = openGateway(t, (_model, version) => version === 2 ? WeightsUse.Current : WeightsUse.Barred);
	t.is(choose()?.entry.held.record.id, 'i-2');
	instancePool.applyRegistry({held: new Map([['i-1', createHeld('i-1', 1)], ['i-2', createHeld('i-2', 2, [])]]), revision: 2});
	t.is(choose(), undefined);
	t.is(choose('part'), undefined);
});

// Issue 57: a long queue was filled while newer weights were a moment old.
test('an engine whose queue delays the start beyond the deadline is not chosen, however new the newer weights are', t => {
	const {choose, instancePool} = openGateway(t, (_model, version, startMs = 0) => version === 1 && startMs >= 1000 ? WeightsUse.Barred : WeightsUse.Current);
	instancePool.addPeerWork([['i-1', 600, 0], ['i-2', 3000, 0]]);
	t.deepEqual([...new Set(partIds.map(id => choose(id)?.entry.held.record.id))], ['i-2']);
});

// Review case 3: prompts of an isolated organisation went without a salt to engines whose announcements named no models.
test('a prompt of an isolated organisation is not sent to an engine whose version of the weights is not known', t => {
	const {choose, instancePool} = openGateway(t, () => WeightsUse.Current);
	instancePool.applyRegistry({held: new Map([['i-1', createHeld('i-1', 1, [])], ['i-2', createHeld('i-2', 2)]]), revision: 2});
	const isolated = {
		name: 'o', keys: [], priority: undefined, isIsolated: true,
	} as unknown as Exchange['organisation'];
	t.deepEqual([...new Set(partIds.map(id => choose(id, isolated)?.entry.held.record.id))], ['i-2']);
	t.is(new Set(partIds.map(id => choose(id)?.entry.held.record.id)).size, 2);
});

const createStore = (address: string, availabilityZone: string): StoreSettings => ({
	address, availabilityZone, capacityTokens: 1_000_000, linkMegabitsPerSecond: 100_000, firstByteMs: 1, isManaged: true,
});

// Parts are found under the salt that they were saved with, whichever store holds them.
test('prompts with allowed regions have salts of their own, and use stores in these regions only', t => {
	const stores = [createStore('10.0.0.1:1', 'north'), createStore('10.0.0.2:1', 'south'), createStore('10.0.0.3:1', 'elsewhere')];
	const saltOf = (allowedRegions?: readonly string[]) => formatSalt({
		isolatedOrganisation: undefined, model: 'guide', weightVersion: 2, allowedRegions,
	});
	const held = [saltOf(), saltOf(['west']), saltOf(['east', 'west'])].flatMap(salt => [
		{
			salt, id: 'in-north', tokens: 300, storeAddress: stores[0]!.address,
		},
		{
			salt, id: 'in-south', tokens: 300, storeAddress: stores[1]!.address,
		},
	]);
	const view = applyPartsReply(createPartsView(), {
		epoch: 'e', revision: 1, clockMs: 1000, isWhole: true, added: held, removed: [],
	}, performance.now());
	const {choose} = openGateway(t, (_model, version) => version === 1 ? WeightsUse.Barred : WeightsUse.Current, {stores, view});
	const organisationOf = (allowedRegions?: readonly string[]) => ({
		name: 'o', keys: [], priority: undefined, isIsolated: false, ...(allowedRegions && {allowedRegions}),
	});
	const describe = (partId: string, allowedRegions?: readonly string[]) => {
		const {salt, fetchAddresses, saveAddresses} = choose(partId, organisationOf(allowedRegions))!.cache!;

		return {salt, fetch: fetchAddresses[0], save: saveAddresses[0]};
	};

	t.deepEqual(describe('in-north'), {salt: 'shared/guide/2', fetch: '10.0.0.1:1', save: undefined});
	t.deepEqual(describe('in-north', ['west', 'east']), {salt: 'shared/guide/2/in-east+west', fetch: '10.0.0.1:1', save: undefined});
	t.deepEqual(describe('in-south', ['west']), {salt: 'shared/guide/2/in-west', fetch: '10.0.0.2:1', save: undefined});
	t.deepEqual(describe('in-north', ['west']), {salt: 'shared/guide/2/in-west', fetch: undefined, save: '10.0.0.2:1'});
	t.deepEqual(new Set(partIds.map(id => describe(id, ['east']).save)), new Set(['10.0.0.1:1']));
	t.is(new Set(partIds.map(id => describe(id).save)).size, 3);
	t.is(describe('new', ['far']).save, undefined);
});

test('equal instances share the requests where other gateways choose too; alone, a gateway takes the first', t => {
	for (const [gateways, expected] of [[1, 1], [3, 2]] as const) {
		const {choose} = openGateway(t, () => WeightsUse.Current, {gateways});
		const chosen = new Set(Array.from({length: 60}, () => choose()?.entry.held.record.id));
		t.is(chosen.size, expected);
	}
});
