import test from 'ava';
import fc from 'fast-check';
import {describePeers, DaemonRole, type DaemonRecord} from '@fescuestair/instances';
import {
	canAcceptWhileStopping, computeReturnMs, createStopState, decideStop, StopPhase, StopReason, type HeardPeers, type StopInput, type StopState,
} from '../../decide-stop.js';

const propertySeed = 44;
const deadlineMs = 6800;
const quiet: StopInput = {
	nowMs: 1000, signalledAtMs: 0, deadlineMs, peers: undefined, knownGateways: 5, running: 3, lastRequestAtMs: 990, canAcceptAll: true,
};
const createPeers = (ready: number, acceptingAfter: number, overrides: Partial<HeardPeers> = {}): HeardPeers => ({
	known: 5, ready, acceptingAfter, ending: 0, heardAtMs: 950, ...overrides,
});
const turned: StopState = {phase: StopPhase.Accepting, reason: StopReason.CallersTurn, enoughSinceMs: 0};
const finishing: StopState = {phase: StopPhase.Finishing, reason: StopReason.OthersServe, enoughSinceMs: 0};

type Case = {readonly title: string; readonly state: StopState; readonly input: Partial<StopInput>; readonly phase: StopPhase; readonly reason: StopReason};

const cases: readonly Case[] = [
	{
		title: 'it has just been told, and most others are ready', state: createStopState(), phase: StopPhase.Accepting, reason: StopReason.CallersTurn,
		input: {peers: createPeers(4, 0)},
	},
	{
		title: 'callers had the time to turn to the others', state: turned, phase: StopPhase.Finishing, reason: StopReason.OthersServe,
		input: {nowMs: 2100, peers: createPeers(4, 0, {heardAtMs: 2000})},
	},
	{
		title: 'the same, with its work done', state: turned, phase: StopPhase.Ended, reason: StopReason.OthersServe,
		input: {nowMs: 2100, running: 0, peers: createPeers(4, 0, {heardAtMs: 2000})},
	},
	{
		title: 'callers have turned already', state: turned, phase: StopPhase.Ended, reason: StopReason.OthersServe,
		input: {
			nowMs: 1700, running: 0, lastRequestAtMs: 100, peers: createPeers(4, 0, {heardAtMs: 1600}),
		},
	},
	{
		title: 'it is the first of all to be told', state: turned, phase: StopPhase.Finishing, reason: StopReason.OthersServe,
		input: {nowMs: 600, peers: createPeers(0, 4, {heardAtMs: 590})},
	},
	{
		title: 'it is the last of all to be told', state: createStopState(), phase: StopPhase.Accepting, reason: StopReason.OthersStop,
		input: {peers: createPeers(0, 0)},
	},
	{
		title: 'it is the last one, and successors are ready', state: createStopState(), phase: StopPhase.Accepting, reason: StopReason.CallersTurn,
		input: {nowMs: 5000, peers: createPeers(3, 0, {heardAtMs: 4900})},
	},
	{
		title: 'it is the last one, without a request and without a successor', state: createStopState(), phase: StopPhase.Accepting, reason: StopReason.OthersStop,
		input: {nowMs: 5000, running: 0, peers: createPeers(0, 0, {heardAtMs: 4900})},
	},
	{
		title: 'the last one that was ready has crashed', state: turned, phase: StopPhase.Accepting, reason: StopReason.OthersStop,
		input: {nowMs: 3000, peers: createPeers(0, 0, {heardAtMs: 2900})},
	},
	{
		title: 'the last one that was ready has crashed while this one finished', state: finishing, phase: StopPhase.Accepting, reason: StopReason.OthersStop,
		input: {nowMs: 3000, peers: createPeers(0, 0, {heardAtMs: 2900})},
	},
	{
		title: 'one of those that were ready has crashed while this one finished', state: finishing, phase: StopPhase.Finishing, reason: StopReason.OthersServe,
		input: {nowMs: 3000, peers: createPeers(1, 0, {heardAtMs: 2900})},
	},
	{
		title: 'it is cut from the coordinators', state: createStopState(), phase: StopPhase.Accepting, reason: StopReason.OthersUnheard,
		input: {},
	},
	{
		title: 'it was cut from them after it had heard them', state: turned, phase: StopPhase.Accepting, reason: StopReason.OthersUnheard,
		input: {nowMs: 2600},
	},
	{
		title: 'it was cut from them while it finished', state: finishing, phase: StopPhase.Finishing, reason: StopReason.OthersServe,
		input: {nowMs: 4000, peers: createPeers(4, 0)},
	},
	{
		title: 'some successors are ready, and long requests would not end in time', state: createStopState(), phase: StopPhase.Finishing, reason: StopReason.TooLate,
		input: {nowMs: 3500, canAcceptAll: false, peers: createPeers(2, 0, {heardAtMs: 3400})},
	},
	{
		title: 'long requests would not end in time, but no successor is ready', state: createStopState(), phase: StopPhase.Accepting, reason: StopReason.OthersStop,
		input: {nowMs: 3500, canAcceptAll: false, peers: createPeers(0, 0, {heardAtMs: 3400})},
	},
	{
		title: 'others dropped out of the count since they restart', state: createStopState(), phase: StopPhase.Accepting, reason: StopReason.OthersStop,
		input: {peers: createPeers(1, 0, {known: 2})},
	},
	{
		title: 'there is no other gateway', state: turned, phase: StopPhase.Finishing, reason: StopReason.NoOthers,
		input: {nowMs: 2100, knownGateways: 1, peers: createPeers(0, 0, {known: 1, heardAtMs: 2000})},
	},
	{
		title: 'the grace is shorter than its longest request', state: createStopState(), phase: StopPhase.Ended, reason: StopReason.TimeOver,
		input: {nowMs: 500, deadlineMs: 500, peers: createPeers(0, 0)},
	},
	{
		title: 'the time to stop is over', state: finishing, phase: StopPhase.Ended, reason: StopReason.TimeOver,
		input: {nowMs: deadlineMs, peers: createPeers(0, 0)},
	},
];

for (const {title, state, input, phase, reason} of cases) {
	test(`a gateway that stops: ${title}`, t => {
		t.like(decideStop(state, {...quiet, ...input}), {phase, reason});
	});
}

test('a request is accepted late only where it ends in time', t => {
	const times = {nowMs: 5000, signalledAtMs: 0, deadlineMs};
	t.true(canAcceptWhileStopping({...times, longestMs: 400, limitMs: 4000}));
	t.true(canAcceptWhileStopping({...times, longestMs: undefined, limitMs: 1500}), 'its limit ends it in time');
	t.false(canAcceptWhileStopping({...times, longestMs: undefined, limitMs: 4000}), 'nothing is known but its limit');
	t.false(canAcceptWhileStopping({...times, longestMs: 1300, limitMs: 4000}), 'one may take longer than the longest so far');
	t.true(canAcceptWhileStopping({
		...times, nowMs: 2600, longestMs: 5000, limitMs: 10_000,
	}), 'soon after the signal all are accepted');
	t.false(canAcceptWhileStopping({
		nowMs: 600, signalledAtMs: 0, deadlineMs: 1000, longestMs: 5000, limitMs: 10_000,
	}), 'but not where the grace is short');
});

test('a refused caller is told when others accept it', t => {
	const times = {nowMs: 5000, deadlineMs, startTookMs: 900};
	t.is(computeReturnMs({...times, peers: createPeers(1, 0, {heardAtMs: 4900})}), 50);
	t.is(computeReturnMs({...times, peers: createPeers(0, 0, {heardAtMs: 4900, ending: 2})}), 900, 'a successor is on its way');
	t.is(computeReturnMs({...times, peers: createPeers(0, 0, {heardAtMs: 4900})}), 2700, 'its own successor is the first');
	t.is(computeReturnMs({...times, peers: undefined}), 2700);
});

type Simulated = {readonly signalAtMs: number; readonly workMs: number; state: StopState; endedAtMs: number | undefined; lastAcceptedAtMs: number};

const stepMs = 50;
const startMs = 1000;
const endMs = 20_000;

// Each gateway sees what the others were `lagMs` ago, has requests all the time, and takes `workMs` to finish those that it has.
const simulateRestarts = (gateways: ReadonlyArray<{readonly signalAtMs: number; readonly workMs: number}>, lagMs: number) => {
	const simulated: Simulated[] = gateways.map(gateway => ({
		...gateway, state: createStopState(), endedAtMs: undefined, lastAcceptedAtMs: gateway.signalAtMs,
	}));
	const isReady = ({signalAtMs, endedAtMs}: Simulated, nowMs: number) => nowMs < signalAtMs || (endedAtMs !== undefined && nowMs >= endedAtMs + startMs);
	const history: Array<readonly DaemonRecord[]> = [];
	const serving: number[] = [];

	for (let nowMs = 0; nowMs < endMs; nowMs += stepMs) {
		const cards = simulated.map((one, index): DaemonRecord => ({
			name: `gateway-${index}`, role: DaemonRole.Gateway, incarnation: 1, linkAddress: '', serviceAddress: '', availabilityZone: '', sequence: 0, isReady: isReady(one, nowMs),
			...(!isReady(one, nowMs) && {leaving: {sinceWallMs: one.signalAtMs, isAccepting: one.endedAtMs === undefined && one.state.phase === StopPhase.Accepting}}),
		}));
		history.push(cards);
		serving.push(cards.filter(card => card.isReady || card.leaving!.isAccepting).length);
		const seen = history[Math.max(0, history.length - 1 - Math.round(lagMs / stepMs))]!;

		for (const [index, one] of simulated.entries()) {
			if (nowMs < one.signalAtMs || one.endedAtMs !== undefined) {
				continue;
			}

			one.lastAcceptedAtMs = one.state.phase === StopPhase.Accepting ? nowMs : one.lastAcceptedAtMs;
			one.state = decideStop(one.state, {
				nowMs, signalledAtMs: one.signalAtMs, deadlineMs: one.signalAtMs + deadlineMs, peers: {...describePeers(seen, cards[index]!), heardAtMs: nowMs - lagMs},
				knownGateways: gateways.length, running: nowMs - one.lastAcceptedAtMs >= one.workMs ? 0 : 1, lastRequestAtMs: nowMs, canAcceptAll: nowMs - one.signalAtMs < deadlineMs - one.workMs,
			});
			one.endedAtMs = one.state.phase === StopPhase.Ended ? nowMs : undefined;
		}
	}

	return {serving, endedAfterMs: simulated.map(({signalAtMs, endedAtMs}) => endedAtMs === undefined ? Number.POSITIVE_INFINITY : endedAtMs - signalAtMs)};
};

// Issue 44: all gateways refused for seconds, since each decided without regard to the others.
test('whenever gateways are restarted, one of them serves, and each ends within its grace', t => {
	t.notThrows(() => {
		fc.assert(fc.property(
			fc.array(fc.record({signalAtMs: fc.integer({min: 0, max: 8000}), workMs: fc.integer({min: 0, max: 1200})}), {minLength: 2, maxLength: 9}),
			fc.integer({min: 0, max: 400}),
			(gateways, lagMs) => {
				const {serving, endedAfterMs} = simulateRestarts(gateways, lagMs);

				return Math.min(...serving) >= 1 && endedAfterMs.every(afterMs => afterMs <= deadlineMs + stepMs);
			},
		), {seed: propertySeed, numRuns: 300});
	});
});

test('all gateways that are told at once end one half after the other', t => {
	const {serving, endedAfterMs} = simulateRestarts(Array.from({length: 400}, () => ({signalAtMs: 0, workMs: 500})), 300);
	t.is(Math.min(...serving), 200);
	t.true(Math.max(...endedAfterMs) < deadlineMs);
});
