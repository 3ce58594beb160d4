import test from 'ava';
import {
	explainCrashes, decodeCrashReport, dropOldCrashes, encodeCrashReport, listCrashEvidence, mergeCrashReport, noCrashEvidence, type CrashEvidence, type CrashReport,
} from '../../index.js';

/** Longer than answers to sound traits take to become known. */
const settledMs = 1000;

type CrashOptions = {
	readonly run: string; readonly atMs: number; readonly requests: ReadonlyArray<readonly string[]>; readonly sentAtMs?: number;
};

const crash = (evidence: CrashEvidence, {run, atMs, requests, sentAtMs = atMs - 50}: CrashOptions): CrashEvidence => mergeCrashReport(evidence, {
	crashes: [{run, atMs, requests: requests.map(traits => ({traits, sentAtMs}))}],
}, atMs);
const answer = (evidence: CrashEvidence, traits: readonly string[], atMs: number): CrashEvidence => mergeCrashReport(evidence, {answers: traits.map(trait => ({trait, atMs}))}, atMs);
const listQuarantined = (evidence: CrashEvidence, nowMs: number) => [...explainCrashes(evidence, nowMs).quarantined.keys()];

test('a request that crashes each instance that runs it is quarantined after the third crash', t => {
	let evidence = noCrashEvidence;

	for (const [index, run] of ['a 1', 'b 1', 'a 2'].entries()) {
		t.deepEqual(listQuarantined(evidence, (index * 1000) + 900), []);
		evidence = crash(evidence, {run, atMs: (index + 1) * 1000, requests: [['request poison']]});
	}

	t.deepEqual(listQuarantined(evidence, 3000 + settledMs), ['request poison']);
	t.deepEqual(listQuarantined(dropOldCrashes(evidence, 3_600_000), 3_600_000), []);
});

test('a crash during several attempts of a request counts once, and a request that finishes elsewhere is cleared', t => {
	let evidence = noCrashEvidence;

	for (let nowMs = 0; nowMs < 5; nowMs++) {
		evidence = crash(evidence, {run: 'a 1', atMs: nowMs, requests: [['request same']]});
	}

	t.deepEqual(listQuarantined(evidence, settledMs), []);
	evidence = crash(evidence, {run: 'b 1', atMs: 2000, requests: [['request same']]});
	evidence = answer(evidence, ['request same'], 2010);
	evidence = crash(evidence, {run: 'c 1', atMs: 4000, requests: [['request same']]});
	t.deepEqual(listQuarantined(evidence, 4000 + settledMs), []);
});

test('reports between daemons may arrive late, twice and in any order', t => {
	const crashes: CrashReport = {
		crashes: ['a 1', 'b 1'].map((run, index) => ({run, atMs: index * 10, requests: [{traits: ['request x'], sentAtMs: index * 10}]})),
	};
	const answers: CrashReport = {answers: [{trait: 'request x', atMs: 15}]};

	for (const reports of [[crashes, answers], [crashes, answers, crashes], [crashes, answers, crashes, answers]]) {
		let evidence = noCrashEvidence;

		for (const report of reports) {
			evidence = mergeCrashReport(evidence, decodeCrashReport(encodeCrashReport(report, {nowMs: 100}), 100), 100);
		}

		t.deepEqual(explainCrashes(evidence, 100).suspected, []);
		evidence = crash(evidence, {run: 'c 1', atMs: 200, requests: [['request x']]});
		t.deepEqual(listQuarantined(evidence, 200 + settledMs), []);
		evidence = crash(evidence, {run: 'd 1', atMs: 300, requests: [['request x']]});
		t.deepEqual(explainCrashes(evidence, 300).suspected, ['request x']);
		evidence = crash(evidence, {run: 'e 1', atMs: 400, requests: [['request x']]});
		t.deepEqual(listQuarantined(evidence, 400 + settledMs), ['request x']);
	}
});

test('requests of a single lost instance are not suspected', t => {
	let evidence = crash(noCrashEvidence, {run: 'a 1', atMs: 50, requests: Array.from({length: 200}, (_, index) => [`request ${index}`])});
	t.deepEqual(explainCrashes(evidence, 60).suspected, []);
	evidence = crash(evidence, {run: 'b 1', atMs: 60, requests: [['request 7']]});
	t.deepEqual(explainCrashes(evidence, 60).suspected, ['request 7']);
});

test('a part that is in every crash is quarantined though no two requests are alike, and its sound companions are not', t => {
	let evidence = noCrashEvidence;

	for (let index = 0; index < 4; index++) {
		evidence = crash(evidence, {
			run: `i-${index} 1`, atMs: index * 1000, requests: [['part first', 'part deadly', `request ${index}`], ['part first', `part document${index}`, `request by${index}`]],
		});
		evidence = answer(evidence, ['part first'], (index * 1000) + 200);
		t.deepEqual(listQuarantined(evidence, (index * 1000) + 900), index >= 2 ? ['part deadly'] : []);
	}
});

test('of two parts that only ever come together the more specific one is quarantined, and the next two crashes correct it', t => {
	let evidence = noCrashEvidence;

	for (let index = 0; index < 3; index++) {
		evidence = crash(evidence, {run: `i-${index} 1`, atMs: index * 1000, requests: [['part beginning', 'part document', `request ${index}`]]});
	}

	t.deepEqual(listQuarantined(evidence, 3000), ['part document']);
	// One crash more may have had another cause.
	evidence = crash(evidence, {run: 'i-8 1', atMs: 4000, requests: [['part beginning', 'part other', 'request 8']]});
	t.deepEqual(listQuarantined(evidence, 4000 + settledMs), ['part document']);
	evidence = crash(evidence, {run: 'i-9 1', atMs: 6000, requests: [['part beginning', 'part third', 'request 9']]});
	t.deepEqual(listQuarantined(evidence, 6000 + settledMs), ['part beginning']);
});

test('two parts may crash instances at the same time', t => {
	let evidence = noCrashEvidence;

	for (let index = 0; index < 6; index++) {
		evidence = crash(evidence, {run: `i-${index} 1`, atMs: index * 1000, requests: [['part first', `part deadly${index % 2}`, `request ${index}`]]});
		evidence = answer(evidence, ['part first'], (index * 1000) + 300);
	}

	t.deepEqual(listQuarantined(evidence, 5000 + settledMs).toSorted(), ['part deadly0', 'part deadly1']);
});

test('instances lost at once blame nobody, however common a part is', t => {
	let evidence = noCrashEvidence;

	for (let index = 0; index < 20; index++) {
		evidence = crash(evidence, {
			run: `i-${index} 1`, atMs: 1000 + (index * 10), sentAtMs: 900, requests: [['part first', 'part rare', `request ${index}`]],
		});
	}

	t.deepEqual(listQuarantined(evidence, 60_000), []);
	evidence = answer(evidence, ['part first'], 2000);
	evidence = crash(evidence, {run: 'j 1', atMs: 3000, requests: [['part first', 'request j']]});
	t.deepEqual(listQuarantined(evidence, 60_000), []);
});

test('a part that has been answered since is not blamed for the crashes before', t => {
	let evidence = noCrashEvidence;

	for (let index = 0; index < 30; index++) {
		evidence = crash(evidence, {run: `i-${index} 1`, atMs: index * 1000, requests: [['part first', `request ${index}`]]});
		evidence = answer(evidence, ['part first'], (index * 1000) + 100);
		t.deepEqual(listQuarantined(evidence, (index * 1000) + 900), []);
	}
});

test('the evidence is bounded', t => {
	let evidence = noCrashEvidence;

	for (let index = 0; index < 500; index++) {
		evidence = crash(evidence, {run: `i-${index} 1`, atMs: index, requests: Array.from({length: 400}, (_, request) => ['part first', `request ${index} ${request}`])});
		evidence = answer(evidence, ['part first', `request ${index} 1`], index + 0.5);
	}

	t.true(evidence.crashes.size <= 64);
	t.true([...evidence.crashes.values()].every(({requests}) => requests.size <= 256));
	t.true(evidence.answeredAtMs.size <= 65);
	t.deepEqual(mergeCrashReport(evidence, listCrashEvidence(evidence), 500), evidence);
});
