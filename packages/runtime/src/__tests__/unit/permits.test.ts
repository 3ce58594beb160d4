import test, {type ExecutionContext} from 'ava';
import {createManualClock, type ManualClock} from '@fescuestair/core';
import {
	createLinkCommands, type LinkCaller, type LinkCommands, type LinkReply,
} from '@fescuestair/protocol';
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
	const requestLimits = createRequestLimits({clock, log});
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
	const leadership: {term: number | undefined} = {term: 1};
	const leader = openReplica(t, {
		clock, network, address: leaderAddress, listeners, getLeadingTerm: () => leadership.term, findLeaderAddress: () => undefined,
	});
	const home = openReplica(t, {
		clock, network, address: homeAddress, listeners, getLeadingTerm: () => undefined, findLeaderAddress: () => leaderAddress,
	});

	const openGateway = (granted: string | undefined = homeAddress) => {
		const requestLimits = createRequestLimits({clock, log});
		const permits = createPermitClient({
			clock, links: network, log, requestLimits, getGrantorAddress: () => granted, count: () => undefined,
		});
		t.teardown(permits.stop);

		return {requestLimits, permits};
	};

	return {
		clock, listeners, leadership, leader, home, openGateway,
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
