import test from 'ava';
import {
	explainCrashes, createQuarantine, createTrialReport, decideTrial, findHeldBack, mergeCrashReport, noCrashEvidence, type CrashEvidence,
} from '../../index.js';

const deadly = ['part first', 'part deadly'];

const crash = (evidence: CrashEvidence, run: string, atMs: number) => mergeCrashReport(evidence, {
	crashes: [{run, atMs, requests: [{traits: [...deadly, `request ${run}`], sentAtMs: atMs - 50}]}],
}, atMs);
const answer = (evidence: CrashEvidence, trait: string, atMs: number) => mergeCrashReport(evidence, {answers: [{trait, atMs}]}, atMs);

const quarantine = () => {
	let evidence = noCrashEvidence;

	for (const [index, run] of ['a 1', 'b 1', 'c 1'].entries()) {
		evidence = answer(crash(evidence, run, index * 1000), 'part first', (index * 1000) + 100);
	}

	return evidence;
};

test('a part that stays deadly costs one instance a trial, at growing intervals, whatever the number of requests', t => {
	let evidence = quarantine();
	const trialsAtMs: number[] = [];

	for (let nowMs = 2600; nowMs < 600_000; nowMs += 50) {
		const query = {traits: [...deadly, `request ${nowMs}`], evidence, explanation: explainCrashes(evidence, nowMs)};
		t.not(findHeldBack(createQuarantine(evidence, query.explanation), query.traits), undefined);

		if (decideTrial(query, nowMs).isGranted) {
			trialsAtMs.push(nowMs);
			evidence = mergeCrashReport(evidence, {trials: createTrialReport(query, nowMs)}, nowMs);
			evidence = answer(crash(evidence, `trial ${nowMs}`, nowMs + 300), 'part first', nowMs + 400);
		}
	}

	t.true(trialsAtMs.length <= 5, `trials at ${trialsAtMs.join(', ')}`);
	t.true(trialsAtMs[0]! < 10_000);
});

test('a part that is sound again is back after the trial that is answered, and the next crashes count anew', t => {
	let evidence = quarantine();
	const nowMs = 20_000;
	const query = {traits: [...deadly, 'request t'], evidence, explanation: explainCrashes(evidence, nowMs)};
	t.true(decideTrial(query, nowMs).isGranted);
	evidence = mergeCrashReport(evidence, {trials: createTrialReport(query, nowMs)}, nowMs);
	t.false(decideTrial({...query, evidence, explanation: explainCrashes(evidence, nowMs + 10)}, nowMs + 10).isGranted, 'one trial at a time');
	evidence = answer(evidence, 'part deadly', nowMs + 400);
	t.is(explainCrashes(evidence, nowMs + 500).quarantined.size, 0);
	t.false(decideTrial({...query, evidence, explanation: explainCrashes(evidence, nowMs + 500)}, nowMs + 500).isGranted, 'asked with an outdated list');
	evidence = crash(evidence, 'd 1', nowMs + 1000);
	evidence = crash(evidence, 'e 1', nowMs + 2000);
	t.is(explainCrashes(evidence, nowMs + 5000).quarantined.size, 0);
});

test('the first trials of a part go to requests without another suspected part', t => {
	let evidence = noCrashEvidence;

	for (const [index, document] of ['x', 'y', 'x', 'z', 'y'].entries()) {
		evidence = mergeCrashReport(evidence, {
			crashes: [{run: `i-${index} 1`, atMs: index * 1000, requests: [{traits: ['part first', `part ${document}`, `request ${index}`], sentAtMs: (index * 1000) - 50}]}],
		}, index * 1000);
	}

	const decide = (document: string, nowMs: number) => decideTrial({
		traits: ['part first', `part ${document}`, 'request t'], evidence, explanation: explainCrashes(evidence, nowMs),
	}, nowMs).isGranted;
	t.deepEqual([...explainCrashes(evidence, 6000).quarantined.keys()], ['part first']);
	t.false(decide('x', 10_000));
	t.true(decide('w', 10_000));
	t.true(decide('x', 14_000));
});
