import test from 'ava';
import fc from 'fast-check';
import {
	AnswerKind, applyCommand, applyPublicChange, CommandKind, createPublicState, createReplicatedState, decodeState, encodeClaimKey, encodeState,
	getPresetInForce, isQuarantined, parseDeclarations, type Answer, type Command, type ConfigItem, type ReplicatedState,
} from '../../index.js';

const outcome = {
	status: 201, contentType: 'application/json', body: new Uint8Array([1]), isBodyOmitted: false,
};
const presetText = (name: string) => `
kind: preset
name: ${name}
weights: {firstToken: 1, recompute: 0.2, link: 0.1}
limits:
  short: {concurrent: 20, perSecond: 50}
  long: {concurrent: 4, perSecond: 2}
  service: {concurrent: 10, perSecond: 20}
`;

function declare(...texts: string[]): ReadonlyMap<string, ConfigItem> {
	return parseDeclarations([{path: 'test.yaml', text: texts.join('---\n')}]).items;
}

function run(state: ReplicatedState, command: Command): {state: ReplicatedState; answer: Answer} {
	return applyCommand(state, command);
}

type ChangeInput = {readonly changeId: string; readonly expectedVersion: number; readonly presetInForce?: string; readonly removals?: string[]; readonly actor?: string};

function change(input: ChangeInput, items: ReadonlyMap<string, ConfigItem> = new Map()): Command {
	return {
		kind: CommandKind.ChangeConfig, atMs: 0, wallMs: 0, actor: 'ana', summary: 'test', upserts: [...items], removals: [], ...input,
	};
}

function claim(requestId: string, bodyDigest = 'd1', atMs = 0): Command {
	return {
		kind: CommandKind.Claim,
		atMs,
		organisation: 'okahandja',
		key: encodeClaimKey({organisation: 'okahandja', service: 'orders', key: 'k'}),
		bodyDigest,
		requestId,
		entryId: 'entry-1',
		leaseDeadlineMs: atMs + 1000,
		keepDeadlineMs: atMs + 100_000,
	};
}

const claimKey = encodeClaimKey({organisation: 'okahandja', service: 'orders', key: 'k'});

test('of operators racing under equal numbers one wins and the rest are told who', t => {
	const first = run(createReplicatedState(), change({changeId: 'c1', expectedVersion: 0, actor: 'ana'}, declare(presetText('ordinary'))));
	t.deepEqual(first.answer, {kind: AnswerKind.Accepted, version: 1});
	const second = run(first.state, change({changeId: 'c2', expectedVersion: 0, actor: 'ben'}, declare(presetText('peak'))));
	t.is(second.answer.kind, AnswerKind.VersionConflict);
	t.is(second.answer.kind === AnswerKind.VersionConflict && second.answer.last?.actor, 'ana');
	const resent = run(second.state, change({changeId: 'c1', expectedVersion: 0, actor: 'ana'}));
	t.deepEqual(resent.answer, first.answer, 'a resend gets the first answer');
	t.is(resent.state.configVersion, 1);
});

test('exactly one preset is in force and it cannot be removed or be missing', t => {
	const first = run(createReplicatedState(), change({changeId: 'c1', expectedVersion: 0, presetInForce: 'ordinary'}, declare(presetText('ordinary'), presetText('peak'))));
	t.is(getPresetInForce(first.state.publicState)?.name, 'ordinary');
	t.is(run(first.state, change({changeId: 'c2', expectedVersion: 1, removals: ['preset/ordinary']})).answer.kind, AnswerKind.Invalid);
	t.is(run(first.state, change({changeId: 'c3', expectedVersion: 1, presetInForce: 'absent'})).answer.kind, AnswerKind.Invalid);
	const moved = run(first.state, change({changeId: 'c4', expectedVersion: 1, presetInForce: 'peak'}));
	t.is(getPresetInForce(moved.state.publicState)?.name, 'peak');
});

test('public changes in any order, twice or with gaps never lead back or astray', t => {
	const presets = declare(presetText('ordinary'), presetText('peak'));
	let state = createReplicatedState();

	for (let version = 0; version < 20; version++) {
		const presetInForce = version % 2 === 0 ? 'ordinary' : 'peak';
		state = run(state, change({changeId: `c${version}`, expectedVersion: version, presetInForce}, presets)).state;
	}

	t.notThrows(() => {
		fc.assert(fc.property(fc.array(fc.nat(19), {maxLength: 200}), order => {
			let held = createPublicState();

			for (const position of order) {
				const before = held.version;
				held = applyPublicChange(held, state.recentChanges[position]!);

				if (held.version < before || (held.version > 0 && getPresetInForce(held)?.name !== (held.version % 2 === 1 ? 'ordinary' : 'peak'))) {
					return false;
				}
			}

			return true;
		}), {seed: 7, numRuns: 200});
	});
});

test('a claim is granted once; the rest wait, get the recorded answer, or are refused for another body', t => {
	const granted = run(createReplicatedState(), claim('r1'));
	t.is(granted.answer.kind, AnswerKind.Granted);
	t.is(run(granted.state, claim('r2')).answer.kind, AnswerKind.Running);
	t.is(run(granted.state, claim('r2', 'other')).answer.kind, AnswerKind.KeyReused);
	const settled = run(granted.state, {
		kind: CommandKind.Settle, atMs: 5, key: claimKey, token: 1, outcome,
	});
	const again = run(settled.state, claim('r3'));
	t.is(again.answer.kind, AnswerKind.Recorded);
	t.is(again.answer.kind === AnswerKind.Recorded && again.answer.requestId, 'r1');
});

test('an overdue claim becomes unknown, is never granted again, and a late outcome is still recorded', t => {
	const granted = run(createReplicatedState(), claim('r1'));
	const early = run(granted.state, {
		kind: CommandKind.Abandon, atMs: 500, key: claimKey, token: 1, isHolderLost: false,
	});
	t.is(early.answer.kind, AnswerKind.StaleToken);
	const abandoned = run(granted.state, {
		kind: CommandKind.Abandon, atMs: 1000, key: claimKey, token: 1, isHolderLost: false,
	});
	t.is(abandoned.answer.kind, AnswerKind.Unknown);
	t.is(run(abandoned.state, claim('r2', 'd1', 2000)).answer.kind, AnswerKind.Unknown);
	const released = run(abandoned.state, {
		kind: CommandKind.Release, atMs: 2000, key: claimKey, token: 1,
	});
	t.is(released.answer.kind, AnswerKind.StaleToken, 'unknown is not turned into not run');
	const late = run(abandoned.state, {
		kind: CommandKind.Settle, atMs: 3000, key: claimKey, token: 1, outcome,
	});
	t.is(run(late.state, claim('r3', 'd1', 4000)).answer.kind, AnswerKind.Recorded);
});

test('another organisation with the same key has a claim of its own', t => {
	const granted = run(createReplicatedState(), claim('r1'));
	const other = {...claim('r2') as Extract<Command, {kind: CommandKind.Claim}>, organisation: 'antioquia', key: encodeClaimKey({organisation: 'antioquia', service: 'orders', key: 'k'})};
	t.is(run(granted.state, other).answer.kind, AnswerKind.Granted);
});

test('whatever the order of claims, settlements and lost holders, one key is granted at most once until it expires', t => {
	const steps = fc.array(fc.record({act: fc.constantFrom('claim', 'settle', 'abandon', 'unknown'), token: fc.integer({min: 1, max: 3}), wait: fc.nat(400)}), {maxLength: 60});
	t.notThrows(() => {
		fc.assert(fc.property(steps, sequence => {
			let state = createReplicatedState();
			let grants = 0;
			let atMs = 0;

			for (const [index, {act, token, wait}] of sequence.entries()) {
				atMs += wait;
				const commands: Record<string, Command> = {
					claim: claim(`r${index}`, 'd1', atMs),
					settle: {
						kind: CommandKind.Settle, atMs, key: claimKey, token, outcome,
					},
					abandon: {
						kind: CommandKind.Abandon, atMs, key: claimKey, token, isHolderLost: wait % 2 === 0,
					},
					unknown: {
						kind: CommandKind.Settle, atMs, key: claimKey, token,
					},
				};
				const applied = run(state, commands[act]!);
				state = applied.state;
				grants += applied.answer.kind === AnswerKind.Granted ? 1 : 0;
			}

			return grants <= 1;
		}), {seed: 11, numRuns: 500});
	});
});

test('the second crash quarantines a prompt, a finish elsewhere clears an innocent one, and time lifts it', t => {
	const report = (requestId: string, upstreamId: string): Command => ({
		kind: CommandKind.ReportCrash, atMs: 0, fingerprint: 'f', organisation: 'okahandja', requestId, upstreamId, keepDeadlineMs: 1000,
	});
	const once = run(createReplicatedState(), report('r1', 'engine-1')).state;
	t.false(isQuarantined(once.publicState, 'f'));
	t.false(isQuarantined(run(once, report('r1', 'engine-1')).state.publicState, 'f'), 'the same crash counts once');
	const cleared = run(once, {kind: CommandKind.ClearSuspicion, atMs: 0, fingerprint: 'f'}).state;
	t.false(isQuarantined(run(cleared, report('r2', 'engine-2')).state.publicState, 'f'));
	const twice = run(once, report('r2', 'engine-2')).state;
	t.true(isQuarantined(twice.publicState, 'f'));
	t.false(isQuarantined(run(twice, {kind: CommandKind.Expire, atMs: 2000}).state.publicState, 'f'));
});

test('retries of suspects never share an upstream, until one is cleared or its time is up', t => {
	let state = createReplicatedState();
	const assign = (fingerprint: string, atMs = 0) => {
		const applied = run(state, {
			kind: CommandKind.AssignRetry, atMs, fingerprint, candidateIds: ['engine-2', 'engine-3'], retryDeadlineMs: atMs + 1000,
		});
		state = applied.state;

		return applied.answer.kind === AnswerKind.Assigned ? applied.answer.upstreamId : 'no assignment';
	};

	for (const fingerprint of ['a', 'b', 'c']) {
		state = run(state, {
			kind: CommandKind.ReportCrash, atMs: 0, fingerprint, organisation: 'o', requestId: fingerprint, upstreamId: 'engine-1', keepDeadlineMs: 1e6,
		}).state;
	}

	t.deepEqual([assign('a'), assign('b'), assign('c')], ['engine-2', 'engine-3', undefined]);
	state = run(state, {kind: CommandKind.ClearSuspicion, atMs: 10, fingerprint: 'a'}).state;
	t.is(assign('c', 20), 'engine-2');
	t.is(assign('a', 30), 'engine-2', 'one that is no suspect any more is free');
	state = run(state, {
		kind: CommandKind.ReportCrash, atMs: 40, fingerprint: 'd', organisation: 'o', requestId: 'd', upstreamId: 'engine-1', keepDeadlineMs: 1e6,
	}).state;
	t.is(assign('d', 50), undefined);
	t.is(assign('d', 5000), 'engine-2');
});

test('a snapshot restores the same state', t => {
	let {state} = run(createReplicatedState(), change({changeId: 'c1', expectedVersion: 0, presetInForce: 'ordinary'}, declare(presetText('ordinary'))));
	state = run(state, claim('r1')).state;
	const restored = decodeState(encodeState(state));
	t.deepEqual(restored, state);
	t.is(run(restored, claim('r2')).answer.kind, AnswerKind.Running);
});

test('expired keys are forgotten', t => {
	const granted = run(createReplicatedState(), claim('r1'));
	const expired = run(granted.state, {kind: CommandKind.Expire, atMs: 100_000});
	t.is(run(expired.state, claim('r2', 'd1', 100_000)).answer.kind, AnswerKind.Granted);
});

test('all findings of all files are reported together with their lines', t => {
	const {findings, items} = parseDeclarations([
		{path: 'a.yaml', text: 'kind: preset\nname: Bad Name\nweights:\n  firstToken: -1\n'},
		{path: 'b.yaml', text: 'kind: model\nname: assistant\ncolour: red\n---\nkind: nonsense\n---\nkind: model\nname: x\n---\nkind: model\nname: x\n'},
		{path: 'c.yaml', text: 'kind: [\n'},
	]);
	const places = findings.map(finding => finding.place);
	t.true(places.includes('a.yaml:2'));
	t.true(places.includes('a.yaml:4'));
	t.true(places.includes('b.yaml:3'));
	t.true(places.includes('b.yaml:5'));
	t.true(places.includes('b.yaml:10'));
	t.true(places.some(place => place.startsWith('c.yaml:')));
	t.is(items.size, 1);
});
