import test from 'ava';
import {
	RunAction, RunEvidence, SuccessionObstacle, decideRun, describeRunEvidence, type Succession,
} from '../../index.js';

/** Another run can take over. */
const ready: Succession = {
	isRepeatable: true, hasPosition: true, isStarted: false, attemptsLeft: 1, hasTime: true, isHeldBack: false, hasUpstream: true, hasBudget: true,
};

const hindrances: ReadonlyArray<readonly [SuccessionObstacle, Partial<Succession>]> = [
	[SuccessionObstacle.NotRepeatable, {isRepeatable: false}],
	[SuccessionObstacle.NoPosition, {hasPosition: false}],
	[SuccessionObstacle.Started, {isStarted: true}],
	[SuccessionObstacle.NoAttempt, {attemptsLeft: 0}],
	[SuccessionObstacle.NoTime, {hasTime: false}],
	[SuccessionObstacle.HeldBack, {isHeldBack: true}],
	[SuccessionObstacle.NoUpstream, {hasUpstream: false}],
	[SuccessionObstacle.NoBudget, {hasBudget: false}],
];

test('a silent run is never cancelled, whatever keeps others from taking over, and another is started only where nothing does', t => {
	const count = 2 ** hindrances.length;

	for (let bits = 0; bits < count; bits++) {
		const present = hindrances.filter((_, index) => Math.floor(bits / (2 ** index)) % 2 === 1);
		let succession = ready;

		for (const [, change] of present) {
			succession = {...succession, ...change};
		}

		t.deepEqual(decideRun(RunEvidence.Silent, succession), {
			action: present.length === 0 ? RunAction.AddRun : RunAction.Keep, obstacle: present[0]?.[0],
		});
	}
});

for (const evidence of Object.values(RunEvidence).filter(one => one !== RunEvidence.Silent)) {
	test(`a run is cancelled where it can no longer serve its caller: ${describeRunEvidence(evidence)}`, t => {
		t.deepEqual(decideRun(evidence, ready), {action: RunAction.Cancel, obstacle: undefined});
	});
}

test('more runs than the route allows leave no attempt', t => {
	t.is(decideRun(RunEvidence.Silent, {...ready, attemptsLeft: -1}).obstacle, SuccessionObstacle.NoAttempt);
});
