import test, {type ExecutionContext} from 'ava';
import {createManualClock, type ManualClock} from '@fescuestair/core';
import {
	createLinkCommands, type LinkCaller, type LinkCommands, type LinkReply,
} from '@fescuestair/protocol';
import {InstanceStage, type RequestLimitNote} from '@fescuestair/instances';
import {createColdInstances, type ColdInstances} from '../../cold-instances.js';
import {createLogger} from '../../logger.js';
import {
	createPermitClient, PermitOutcome, type PermitClient, type PermitOptions,
} from '../../permit-client.js';
import {createPermitGrantor} from '../../permit-grantor.js';
import {createRequestLimits, type InstanceRun} from '../../request-limits.js';

const run = {id: 'i-1', incarnation: 7};
const leaderAddress = 'leader';
const homeAddress = 'home';
const log = createLogger({instance: 'test', isTerminal: false, writeLine: () => true});
const options = {maxWaitMs: 0, priority: 0};
const bound = {overage: 1.5, slackRequests: 5};
const allowed = 39.5;

/** Carries messages between daemons of this process; a daemon that is not listed does not answer. */
const createNetwork = (listeners: Map<string, LinkCommands>): LinkCaller => ({
	async call(address, message) {
		const commands = listeners.get(address);

		if (commands === undefined) {
			throw new Error(`${address} does not answer`);
		}

		return new Promise(resolve => {
			commands.dispatch(message, (reply: LinkReply) => {
				resolve(reply);
			});
		});
	},
});

const openReplica = (t: ExecutionContext, {clock, network, address, listeners, getLeadingTerm, findLeaderAddress}: {
	readonly clock: ManualClock;
	readonly network: LinkCaller;
	readonly address: string;
	readonly listeners: Map<string, LinkCommands>;
	readonly getLeadingTerm: () => number | undefined;
	readonly findLeaderAddress: () => string | undefined;
}) => {
	const commands = createLinkCommands({onFault: fault => t.fail(JSON.stringify(fault))});
	// It has the configuration of no service and has heard of no instance, as after its start.
	const cold = createColdInstances({
		clock, log, listInstances: () => [], findInstance: () => undefined, getTerms: () => undefined, bound,
	});
	const requestLimits = createRequestLimits({clock, log, cold});
	const grantor = createPermitGrantor({
		clock, links: network, log, commands, requestLimits, getLeadingTerm, findLeaderAddress, leaseMs: 550,
	});
	listeners.set(address, commands);
	t.teardown(grantor.stop);
	grantor.refresh();

	return {requestLimits, grantor};
};

const openSystem = (t: ExecutionContext) => {
	const clock = createManualClock(100_000);
	const listeners = new Map<string, LinkCommands>();
	const network = createNetwork(listeners);
	const notes: RequestLimitNote[] = [];
	const leadership: {term: number | undefined} = {term: 1};
	const leader = openReplica(t, {
		clock, network, address: leaderAddress, listeners, getLeadingTerm: () => leadership.term, findLeaderAddress: () => undefined,
	});
	const home = openReplica(t, {
		clock, network, address: homeAddress, listeners, getLeadingTerm: () => undefined, findLeaderAddress: () => leaderAddress,
	});

	const openGateway = (granted: string | undefined = homeAddress, {cold, name = 'gateway-1'}: {readonly cold?: ColdInstances; readonly name?: string} = {}) => {
		const requestLimits = createRequestLimits({
			clock, log, ...(cold && {cold}), onChange(note, {isOwn}) {
				notes.push(...(isOwn ? [note] : []));
			},
		});
		const permits = createPermitClient({
			clock, links: network, log, requestLimits, getGrantorAddress: () => granted, count: () => undefined, sharing: {daemon: name, countDaemons: () => 23},
		});
		t.teardown(permits.stop);

		return {requestLimits, permits};
	};

	return {
		clock, listeners, leadership, leader, home, notes, openGateway,
	};
};

const reserve = async ({permits}: {readonly permits: PermitClient}, instance: InstanceRun, permitOptions: PermitOptions) => {
	const {outcome} = await permits.reserve(instance, permitOptions);

	return outcome;
};

const nameLimit = ({requestLimits}: {readonly requestLimits: ReturnType<typeof createRequestLimits>}, perSecond: number, clock: ManualClock) => {
	requestLimits.recordAnswer(run, {perSecond, hasRun: true, sentAtMs: clock.readMonotonicMs()});
};

test('permits come from the leader by way of the home, at the rate of the limit over all gateways', async t => {
	const {clock, openGateway} = openSystem(t);
	const first = openGateway();
	const second = openGateway();
	t.is(await reserve(first, run, options), PermitOutcome.Unlimited);
	nameLimit(first, 2, clock);
	nameLimit(second, 2, clock);
	let granted = 0;
	clock.advance(2000);

	for (let step = 0; step < 100; step++) {
		clock.advance(100);

		for (const {permits} of [first, second]) {
			const outcome = await reserve({permits}, run, options);
			granted += outcome === PermitOutcome.Granted ? 1 : 0;
		}
	}

	// Ten seconds at two a second; the account opened with the first question.
	t.true(granted >= 17 && granted <= 21, `${granted} permits`);
});

test('a leader grants nothing until the permits of its predecessor are void', async t => {
	const {clock, leadership, openGateway} = openSystem(t);
	const gateway = openGateway();
	nameLimit(gateway, 10, clock);
	clock.advance(5000);
	await gateway.permits.reserve(run, options);
	clock.advance(1000);
	t.is(await reserve(gateway, run, options), PermitOutcome.Granted);
	leadership.term = 2;
	t.is(await reserve(gateway, run, options), PermitOutcome.Refused);
	t.is(gateway.permits.getClosedUntilMs(run), clock.readMonotonicMs() + 1300);
	clock.advance(1400);
	t.is(await reserve(gateway, run, options), PermitOutcome.Granted);
});

test('without an answer nothing is sent to limited instances, and other instances are not concerned', async t => {
	const {clock, listeners, openGateway} = openSystem(t);
	const gateway = openGateway();
	nameLimit(gateway, 10, clock);
	listeners.clear();
	t.is(await reserve(gateway, run, options), PermitOutcome.Unanswered);
	t.true(gateway.permits.isUnanswered());
	t.true(gateway.permits.getClosedUntilMs(run) > clock.readMonotonicMs());
	t.is(await reserve(gateway, {id: 'i-2', incarnation: 1}, options), PermitOutcome.Unlimited);
	const cutOff = openGateway('nowhere');
	nameLimit(cutOff, 10, clock);
	t.is(await reserve(cutOff, run, options), PermitOutcome.Unanswered);
});

test('a gateway that was told of no limit learns it, and its end, with the answer to a question', async t => {
	const {clock, leader, openGateway} = openSystem(t);
	const gateway = openGateway();
	nameLimit(gateway, 10, clock);
	clock.advance(5000);
	nameLimit(leader, 4, clock);
	clock.advance(10);
	await gateway.permits.reserve(run, options);
	t.is(gateway.requestLimits.getPerSecond(run), 4);
	leader.requestLimits.recordAnswer(run, {perSecond: undefined, hasRun: true, sentAtMs: clock.readMonotonicMs()});
	clock.advance(600);
	t.is(await reserve(gateway, run, {...options, maxWaitMs: 500}), PermitOutcome.Unlimited);
	t.is(gateway.requestLimits.getPerSecond(run), undefined);
});

test('a restarted instance is not held to the limit that it named before', async t => {
	const {clock, openGateway} = openSystem(t);
	const gateway = openGateway();
	nameLimit(gateway, 1, clock);
	const restarted = {...run, incarnation: 8};
	t.is(await reserve(gateway, restarted, options), PermitOutcome.Unlimited);
	gateway.requestLimits.recordAnswer(restarted, {perSecond: 5, hasRun: true, sentAtMs: clock.readMonotonicMs()});
	nameLimit(gateway, 1, clock);
	t.is(gateway.requestLimits.getPerSecond(restarted), 5);
});

test('notes of limits carry their age, so that an older one does not bring back a limit that ended', t => {
	const {clock, openGateway} = openSystem(t);
	const gateway = openGateway();
	const other = openGateway();
	nameLimit(gateway, 3, clock);
	clock.advance(100);
	const note = gateway.requestLimits.describe(run);
	t.deepEqual(note, {...run, perSecond: 3, ageMs: 100});
	other.requestLimits.merge([note]);
	t.is(other.requestLimits.getPerSecond(run), 3);
	clock.advance(100);
	other.requestLimits.recordAnswer(run, {perSecond: undefined, hasRun: true, sentAtMs: clock.readMonotonicMs()});
	other.requestLimits.merge([gateway.requestLimits.describe(run)]);
	t.is(other.requestLimits.getPerSecond(run), undefined);
	gateway.requestLimits.merge(other.requestLimits.list());
	t.is(gateway.requestLimits.getPerSecond(run), undefined);
});

/** The cold instances that a gateway knows of: the one instance announced at the given time that it is cold for so long. */
const createCold = (clock: ManualClock, coldLeftMs: number) => {
	const held = {
		record: {
			...run, service: 'app', address: '10.0.0.9:1', availabilityZone: 'north', slots: 6, stage: InstanceStage.Ready, coldLeftMs, models: [], sequence: 1,
		}, heardAtMs: clock.readMonotonicMs(), revision: 1, loadingDeadlineMs: 0,
	};

	return createColdInstances({
		clock, log, listInstances: () => [held], findInstance: id => id === run.id ? held : undefined, getTerms: () => ({durationMs: 6000, requestsPerSecond: 23}), bound,
	});
};

// Asks through each gateway every 10 ms and returns when requests could be sent.
const askThroughAll = async (clock: ManualClock, gateways: ReadonlyArray<{readonly permits: PermitClient}>, durationMs: number) => {
	const sentMs: number[] = [];

	for (let step = 0; step < durationMs / 10; step++) {
		clock.advance(10);

		for (const gateway of gateways) {
			const outcome = await reserve(gateway, run, options);
			sentMs.push(...(outcome === PermitOutcome.Granted || outcome === PermitOutcome.Unlimited ? [clock.readMonotonicMs()] : []));
		}
	}

	return sentMs;
};

const findWorstSecond = (times: readonly number[]) => Math.max(0, ...times.map(fromMs => times.filter(atMs => atMs >= fromMs && atMs < fromMs + 1000).length));

test('a cold instance gets what its service says from all gateways, also by a leader that has not heard of it, and everything once it is warm', async t => {
	const {clock, openGateway} = openSystem(t);
	const gateways = [1, 2, 3].map(() => openGateway(homeAddress, {cold: createCold(clock, 3000)}));
	clock.advance(2000);
	const sentMs = await askThroughAll(clock, gateways, 900);
	t.true(sentMs.length >= 12 && findWorstSecond(sentMs) <= allowed, `${sentMs.length} sent`);
	clock.advance(200);
	t.is(await reserve(gateways[0]!, run, options), PermitOutcome.Unlimited);
});

test('a named limit of a cold instance that is lower counts', t => {
	const {clock, openGateway} = openSystem(t);
	const gateway = openGateway(homeAddress, {cold: createCold(clock, 3000)});
	nameLimit(gateway, 5, clock);
	t.is(gateway.requestLimits.getPerSecond(run), 5);
	t.is(gateway.requestLimits.getUngrantedPerSecond(run), undefined);
	nameLimit(gateway, 50, clock);
	t.is(gateway.requestLimits.getPerSecond(run), 23);
});

test('an answer that says that an instance is cold is told once, binds the other gateways, and ends the time again', async t => {
	const {clock, notes, openGateway} = openSystem(t);
	const first = openGateway(homeAddress, {cold: createCold(clock, 0)});
	const second = openGateway(homeAddress, {cold: createCold(clock, 0), name: 'gateway-2'});
	clock.advance(100);

	const answer = (coldLeftMs: number) => {
		first.requestLimits.recordAnswer(run, {
			perSecond: undefined, hasRun: true, sentAtMs: clock.readMonotonicMs() - 5, coldLeftMs,
		});
	};

	t.is(await reserve(second, run, options), PermitOutcome.Unlimited);
	answer(2500);
	clock.advance(50);
	answer(2460);
	t.is(notes.length, 1);
	second.requestLimits.merge(notes);
	t.is(second.requestLimits.getPerSecond(run), 23);
	// What comes back is no news.
	first.requestLimits.merge(second.requestLimits.list());
	t.is(first.requestLimits.describe(run).coldLeftMs, 2450);
	answer(0);
	t.is(first.requestLimits.getPerSecond(run), undefined);
	clock.advance(2600);
	t.is(second.requestLimits.getPerSecond(run), undefined);
});

test('an instance that does not run is taken for cold when it runs again, by all gateways', t => {
	const {clock, notes, openGateway} = openSystem(t);
	const first = openGateway(homeAddress, {cold: createCold(clock, 0)});
	const second = openGateway(homeAddress, {cold: createCold(clock, 0), name: 'gateway-2'});
	first.requestLimits.recordEnd(run);
	clock.advance(500);
	first.requestLimits.recordEnd(run);
	t.is(notes.length, 1);
	second.requestLimits.merge(notes);
	t.is(second.requestLimits.getPerSecond(run), 23);
	// Its restart announces how cold it is.
	t.is(second.requestLimits.getPerSecond({...run, incarnation: 8}), undefined);
});

test('changes of the leader keep what a cold instance gets under the bound', async t => {
	const {clock, leadership, openGateway} = openSystem(t);
	const gateways = [1, 2, 3].map(index => openGateway(homeAddress, {cold: createCold(clock, 9000), name: `gateway-${index}`}));
	clock.advance(2000);
	const sentMs = await askThroughAll(clock, gateways, 700);
	leadership.term = 2;
	sentMs.push(...await askThroughAll(clock, gateways, 1400));
	leadership.term = undefined;
	sentMs.push(...await askThroughAll(clock, gateways, 400));
	leadership.term = 3;
	sentMs.push(...await askThroughAll(clock, gateways, 2000));
	t.true(findWorstSecond(sentMs) <= allowed, `${findWorstSecond(sentMs)} in a second`);
	t.true(sentMs.length > 20);
});

test('without a coordinator, gateways send a cold instance little, and nothing to one that names a limit', async t => {
	const {clock, listeners, openGateway} = openSystem(t);
	const gateways = Array.from({length: 23}, (_, index) => openGateway(homeAddress, {cold: createCold(clock, 10_000), name: `gateway-${index}`}));
	listeners.clear();
	const sentMs = await askThroughAll(clock, gateways, 3000);
	t.true(sentMs.length > 0);
	t.true(findWorstSecond(sentMs) <= allowed, `${findWorstSecond(sentMs)} in a second`);
	// Each gateway has one instant in 4.7 seconds.
	t.true(sentMs.length <= 23);

	for (const gateway of gateways) {
		nameLimit(gateway, 23, clock);
	}

	t.deepEqual(await askThroughAll(clock, gateways, 500), []);
});

test('a permit whose answer comes late is void', async t => {
	const {clock, listeners, openGateway} = openSystem(t);
	const gateway = openGateway(homeAddress, {cold: createCold(clock, 9000)});
	clock.advance(1000);
	await gateway.permits.reserve(run, options);
	clock.advance(300);
	const home = listeners.get(homeAddress)!;
	listeners.set(homeAddress, {
		...home,
		dispatch(message, reply) {
			home.dispatch(message, answer => {
				clock.advance(400);
				reply?.(answer);
			});
		},
	});
	t.is(await reserve(gateway, run, options), PermitOutcome.Refused);
});
