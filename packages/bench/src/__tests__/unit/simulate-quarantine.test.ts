import test, {type ExecutionContext} from 'ava';
import {
	deadlyPart, firstPart, simulateQuarantine, type QuarantineSimulation, type QuarantineSimulationOptions,
} from '../../model/simulate-quarantine.js';

const deployments = [{gateways: 4, instances: 6}, {gateways: 28, instances: 40}, {gateways: 400, instances: 60}];
const seeds = [1, 2, 3];
const durationMs = 30_000;
const requestsPerInstance = 4;
const deadlyShare = 0.05;
/** Requests with a deadly part that are sent later than this after the fifth crash count. */
const contactMs = 3000;
const fifthCrash = 4;
const maxSentAfter = 3;

const simulateAll = (options: Partial<QuarantineSimulationOptions>, check: (simulation: QuarantineSimulation, label: string) => void) => {
	for (const {gateways, instances} of deployments) {
		for (const seed of seeds) {
			check(simulateQuarantine({
				seed, gateways, instances, requestsPerSecond: requestsPerInstance * instances, deadlyShare, getDeadlyParts: () => [deadlyPart], durationMs, ...options,
			}), `${gateways} gateways, seed ${seed}`);
		}
	}
};

const countSentAfter = ({crashesAtMs, deadlySentAtMs}: QuarantineSimulation, crash: number) => {
	const fromMs = (crashesAtMs[crash] ?? Number.POSITIVE_INFINITY) + contactMs;

	return deadlySentAtMs.filter(atMs => atMs > fromMs).length;
};

const checkNothingSoundHeldBack = (t: ExecutionContext, {falselyBlamed, soundHeldBack}: QuarantineSimulation, label: string) => {
	t.deepEqual([...falselyBlamed], [], label);
	t.is(soundHeldBack, 0, label);
};

test('a deadly part reaches hardly an instance after the fifth crash, and nothing sound is held back', t => {
	simulateAll({}, (simulation, label) => {
		t.true(simulation.crashesAtMs.length >= 3, label);
		t.true(countSentAfter(simulation, fifthCrash) <= maxSentAfter, `${label}: ${countSentAfter(simulation, fifthCrash)}`);
		checkNothingSoundHeldBack(t, simulation, label);
	});
});

test('without the quarantine the same days send many more', t => {
	simulateAll({isUnguarded: true}, (simulation, label) => {
		t.true(countSentAfter(simulation, fifthCrash) > 2 * maxSentAfter, label);
	});
});

test('a deadly part in the middle of prompts, and one that begins most of them, are told from their companions', t => {
	const chooseMiddle = (random: () => number) => [firstPart, deadlyPart, `part chapter${Math.floor(random() * 20)}`];
	simulateAll({chooseDeadlyPrompt: chooseMiddle}, (simulation, label) => {
		t.true(countSentAfter(simulation, fifthCrash) <= maxSentAfter, `${label}: ${countSentAfter(simulation, fifthCrash)}`);
	});
	const chooseBeginning = (random: () => number) => [deadlyPart, `part document${Math.floor(random() * 50)}`];
	simulateAll({chooseDeadlyPrompt: chooseBeginning, deadlyShare: 0.6}, (simulation, label) => {
		t.true(countSentAfter(simulation, fifthCrash) <= maxSentAfter, `${label}: ${countSentAfter(simulation, fifthCrash)}`);
	});
});

test('two parts that are deadly at once are both held back', t => {
	const parts = ['part deadly', 'part beginning'];
	const chooseDeadlyPrompt = (random: () => number) => random() < 0.5 ? [firstPart, 'part deadly'] : ['part beginning', `part document${Math.floor(random() * 50)}`];
	simulateAll({getDeadlyParts: () => parts, chooseDeadlyPrompt}, (simulation, label) => {
		t.true(countSentAfter(simulation, (2 * fifthCrash) + 1) <= 2 * maxSentAfter, label);
		t.deepEqual([...simulation.falselyBlamed], [], label);
	});
});

test('instances that are lost together or one after the other blame no part', t => {
	const losses = [5000, 7000, 9000, 11_000, 11_150, 20_000].map(atMs => ({atMs, share: 0.4}));
	simulateAll({deadlyShare: 0, getDeadlyParts: () => [], losses}, (simulation, label) => {
		checkNothingSoundHeldBack(t, simulation, label);
	});
});

test('losses of instances beside a deadly part neither hide it nor blame others', t => {
	simulateAll({losses: [4000, 9000, 14_000].map(atMs => ({atMs, share: 0.4}))}, (simulation, label) => {
		t.true(countSentAfter(simulation, fifthCrash) <= maxSentAfter, `${label}: ${countSentAfter(simulation, fifthCrash)}`);
		checkNothingSoundHeldBack(t, simulation, label);
	});
});

test('a part that is sound again is answered again, and held back again where it turns deadly again', t => {
	const isDeadlyAt = (nowMs: number) => nowMs < 12_000 || nowMs > 60_000;
	simulateAll({getDeadlyParts: nowMs => isDeadlyAt(nowMs) ? [deadlyPart] : [], durationMs: 80_000}, (simulation, label) => {
		t.true(simulation.answeredAgainAtMs.some(atMs => atMs > 12_000 && atMs < 36_000), label);
		const secondCrashes = simulation.crashesAtMs.filter(atMs => atMs > 60_000);
		t.true(countSentAfter({...simulation, crashesAtMs: secondCrashes}, fifthCrash) <= maxSentAfter, label);
		t.deepEqual([...simulation.falselyBlamed], [], label);
	});
});

test('gateways that start late hold back what the others hold back', t => {
	simulateAll({lateGateways: 2, lateStartMs: 15_000}, (simulation, label) => {
		t.true(countSentAfter(simulation, fifthCrash) <= maxSentAfter, `${label}: ${countSentAfter(simulation, fifthCrash)}`);
	});
});
