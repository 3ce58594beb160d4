import test from 'ava';
import fc from 'fast-check';
import {
	CommandResponseKind, applyCommand, applyPublicChange, CommandKind, createPublicState, createReplicatedState, decodeState, encodeClaimKey, encodeState,
	findHeldBackTrait, getPresetInForce, isQuarantined, parseDeclarations, type CommandResponse, type Command, type ConfigItem, type EncodedState,
	type ReplicatedState,
} from '../../index.js';

const outcome = {
	status: 201, contentType: 'application/json', body: new Uint8Array([1]), isBodyOmitted: false,
};
const formatPreset = (name: string) => `
kind: preset
name: ${name}
weights: {firstToken: 1, recompute: 0.2, link: 0.1}
limits:
  short: {concurrent: 20, perSecond: 50}
  long: {concurrent: 4, perSecond: 2}
  service: {concurrent: 10, perSecond: 20}
`;

function parseItems(...texts: string[]): ReadonlyMap<string, ConfigItem> {
	return parseDeclarations([{path: 'test.yaml', text: texts.join('---\n')}]).items;
}

function apply(state: ReplicatedState, command: Command): {state: ReplicatedState; answer: CommandResponse} {
	return applyCommand(state, command);
}

type ChangeInput = {readonly changeId: string; readonly expectedVersion: number; readonly presetInForce?: string; readonly removals?: string[]; readonly actor?: string};

function createChangeCommand(input: ChangeInput, items: ReadonlyMap<string, ConfigItem> = new Map()): Command {
	return {
		kind: CommandKind.ChangeConfig, atMs: 0, wallMs: 0, actor: 'ana', summary: 'test', upserts: [...items], removals: [], ...input,
	};
}

function createClaimCommand(requestId: string, bodyDigest = 'd1', atMs = 0): Command {
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

test('of concurrent changes with the same expected version one is accepted, and the others get a conflict that names its actor', t => {
	const first = apply(createReplicatedState(), createChangeCommand({changeId: 'c1', expectedVersion: 0, actor: 'ana'}, parseItems(formatPreset('ordinary'))));
	t.deepEqual(first.answer, {kind: CommandResponseKind.Accepted, version: 1});
	const second = apply(first.state, createChangeCommand({changeId: 'c2', expectedVersion: 0, actor: 'ben'}, parseItems(formatPreset('peak'))));
	t.is(second.answer.kind, CommandResponseKind.VersionConflict);
	t.is(second.answer.kind === CommandResponseKind.VersionConflict && second.answer.last?.actor, 'ana');
	const resent = apply(second.state, createChangeCommand({changeId: 'c1', expectedVersion: 0, actor: 'ana'}));
	t.deepEqual(resent.answer, first.answer, 'a resend gets the first answer');
	t.is(resent.state.configVersion, 1);
});

test('exactly one preset is in force; a change that removes it or names a missing preset is invalid', t => {
	const first = apply(createReplicatedState(), createChangeCommand({changeId: 'c1', expectedVersion: 0, presetInForce: 'ordinary'}, parseItems(formatPreset('ordinary'), formatPreset('peak'))));
	t.is(getPresetInForce(first.state.publicState)?.name, 'ordinary');
	t.is(apply(first.state, createChangeCommand({changeId: 'c2', expectedVersion: 1, removals: ['preset/ordinary']})).answer.kind, CommandResponseKind.Invalid);
	t.is(apply(first.state, createChangeCommand({changeId: 'c3', expectedVersion: 1, presetInForce: 'absent'})).answer.kind, CommandResponseKind.Invalid);
	const switched = apply(first.state, createChangeCommand({changeId: 'c4', expectedVersion: 1, presetInForce: 'peak'}));
	t.is(getPresetInForce(switched.state.publicState)?.name, 'peak');
});

test('public changes in any order, duplicated or with gaps, never lead to an older version or a wrong state', t => {
	const presets = parseItems(formatPreset('ordinary'), formatPreset('peak'));
	let state = createReplicatedState();

	for (let version = 0; version < 20; version++) {
		const presetInForce = version % 2 === 0 ? 'ordinary' : 'peak';
		state = apply(state, createChangeCommand({changeId: `c${version}`, expectedVersion: version, presetInForce}, presets)).state;
	}

	t.notThrows(() => {
		fc.assert(fc.property(fc.array(fc.nat(19), {maxLength: 200}), order => {
			let local = createPublicState();

			for (const position of order) {
				const before = local.version;
				local = applyPublicChange(local, state.recentChanges[position]!);

				if (local.version < before || (local.version > 0 && getPresetInForce(local)?.name !== (local.version % 2 === 1 ? 'ordinary' : 'peak'))) {
					return false;
				}
			}

			return true;
		}), {seed: 7, numRuns: 200});
	});
});

test('a claim is granted once; later requests find it running, get the recorded outcome, or are refused for a different body', t => {
	const granted = apply(createReplicatedState(), createClaimCommand('r1'));
	t.is(granted.answer.kind, CommandResponseKind.Granted);
	t.is(apply(granted.state, createClaimCommand('r2')).answer.kind, CommandResponseKind.Running);
	t.is(apply(granted.state, createClaimCommand('r2', 'other')).answer.kind, CommandResponseKind.KeyReused);
	const settled = apply(granted.state, {
		kind: CommandKind.RecordOutcome, atMs: 5, key: claimKey, token: 1, outcome,
	});
	const repeated = apply(settled.state, createClaimCommand('r3'));
	t.is(repeated.answer.kind, CommandResponseKind.OutcomeRecorded);
	t.is(repeated.answer.kind === CommandResponseKind.OutcomeRecorded && repeated.answer.requestId, 'r1');
});

test('a claim with an expired lease becomes unknown, is not granted again, and a late outcome is still recorded', t => {
	const granted = apply(createReplicatedState(), createClaimCommand('r1'));
	const abandonedEarly = apply(granted.state, {
		kind: CommandKind.MarkOutcomeUnknown, atMs: 500, key: claimKey, token: 1, isHolderLost: false,
	});
	t.is(abandonedEarly.answer.kind, CommandResponseKind.StaleToken);
	const abandoned = apply(granted.state, {
		kind: CommandKind.MarkOutcomeUnknown, atMs: 1000, key: claimKey, token: 1, isHolderLost: false,
	});
	t.is(abandoned.answer.kind, CommandResponseKind.OutcomeUnknown);
	t.is(apply(abandoned.state, createClaimCommand('r2', 'd1', 2000)).answer.kind, CommandResponseKind.OutcomeUnknown);
	const released = apply(abandoned.state, {
		kind: CommandKind.Release, atMs: 2000, key: claimKey, token: 1,
	});
	t.is(released.answer.kind, CommandResponseKind.StaleToken, 'a claim with an unknown outcome cannot be released as not run');
	const settledLate = apply(abandoned.state, {
		kind: CommandKind.RecordOutcome, atMs: 3000, key: claimKey, token: 1, outcome,
	});
	t.is(apply(settledLate.state, createClaimCommand('r3', 'd1', 4000)).answer.kind, CommandResponseKind.OutcomeRecorded);
});

test('another organisation with the same key has a claim of its own', t => {
	const granted = apply(createReplicatedState(), createClaimCommand('r1'));
	const other = {
		...createClaimCommand('r2') as Extract<Command, {kind: CommandKind.Claim}>,
		organisation: 'antioquia',
		key: encodeClaimKey({organisation: 'antioquia', service: 'orders', key: 'k'}),
	};
	t.is(apply(granted.state, other).answer.kind, CommandResponseKind.Granted);
});

test('whatever the order of claims, recorded outcomes and lost holders, a key is granted at most once until it expires', t => {
	const operations = fc.array(fc.record({operation: fc.constantFrom('claim', 'settle', 'abandon', 'unknown'), token: fc.integer({min: 1, max: 3}), wait: fc.nat(400)}), {maxLength: 60});
	t.notThrows(() => {
		fc.assert(fc.property(operations, sequence => {
			let state = createReplicatedState();
			let grants = 0;
			let atMs = 0;

			for (const [index, {operation, token, wait}] of sequence.entries()) {
				atMs += wait;
				const commands: Record<string, Command> = {
					claim: createClaimCommand(`r${index}`, 'd1', atMs),
					settle: {
						kind: CommandKind.RecordOutcome, atMs, key: claimKey, token, outcome,
					},
					abandon: {
						kind: CommandKind.MarkOutcomeUnknown, atMs, key: claimKey, token, isHolderLost: wait % 2 === 0,
					},
					unknown: {
						kind: CommandKind.RecordOutcome, atMs, key: claimKey, token,
					},
				};
				const applied = apply(state, commands[operation]!);
				state = applied.state;
				grants += applied.answer.kind === CommandResponseKind.Granted ? 1 : 0;
			}

			return grants <= 1;
		}), {seed: 11, numRuns: 500});
	});
});

test('the second crash quarantines a prompt, success on another upstream clears it before that, and the quarantine expires', t => {
	const createCrashReport = (requestId: string, upstreamId: string): Command => ({
		kind: CommandKind.ReportCrash, atMs: 0, fingerprint: 'f', organisation: 'okahandja', requestId, upstreamId, keepDeadlineMs: 1000,
	});
	const afterOneCrash = apply(createReplicatedState(), createCrashReport('r1', 'engine-1')).state;
	t.false(isQuarantined(afterOneCrash.publicState, 'f'));
	t.false(isQuarantined(apply(afterOneCrash, createCrashReport('r1', 'engine-1')).state.publicState, 'f'), 'the same crash counts once');
	const cleared = apply(afterOneCrash, {kind: CommandKind.ClearSuspicion, atMs: 0, fingerprint: 'f'}).state;
	t.false(isQuarantined(apply(cleared, createCrashReport('r2', 'engine-2')).state.publicState, 'f'));
	const afterTwoCrashes = apply(afterOneCrash, createCrashReport('r2', 'engine-2')).state;
	t.true(isQuarantined(afterTwoCrashes.publicState, 'f'));
	t.false(isQuarantined(apply(afterTwoCrashes, {kind: CommandKind.Expire, atMs: 2000}).state.publicState, 'f'));
});

test('what unalike prompts that crash upstreams have in common is held back and tried once at a time, also by a replica that starts from a snapshot', t => {
	let state = createReplicatedState();
	const traits = ['model m', 'part m first', 'part m deadly'];
	const run = (command: Command) => {
		const applied = apply(state, command);
		state = decodeState(structuredClone(encodeState(applied.state)));

		return applied.answer;
	};

	for (const [index, atMs] of [0, 1000, 2000].entries()) {
		run({
			kind: CommandKind.ReportCrash, atMs, fingerprint: `f${index}`, organisation: 'o', requestId: `r${index}`, upstreamId: `engine-${index}`, keepDeadlineMs: 1e6,
			unanswered: {run: `engine-${index} 1`, traits: [...traits, `request f${index}`], sentAtMs: atMs - 100},
		});
		run({
			kind: CommandKind.ClearSuspicion, atMs: atMs + 400, fingerprint: 'sound', answered: {traits: ['model m', 'part m first', 'request sound'], atMs: atMs + 300},
		});
		t.is(findHeldBackTrait(state.publicState, traits), undefined);
	}

	run({kind: CommandKind.Expire, atMs: 2600});
	t.is(findHeldBackTrait(state.publicState, traits), 'part m deadly');
	t.is(findHeldBackTrait(state.publicState, traits.slice(0, 2)), undefined);
	t.like(run({kind: CommandKind.ReserveTrial, atMs: 3000, traits}), {kind: CommandResponseKind.Trial, isGranted: false});
	t.like(run({kind: CommandKind.ReserveTrial, atMs: 20_000, traits}), {kind: CommandResponseKind.Trial, isGranted: true});
	t.like(run({kind: CommandKind.ReserveTrial, atMs: 20_010, traits}), {kind: CommandResponseKind.Trial, isGranted: false});
	run({
		kind: CommandKind.ClearSuspicion, atMs: 21_000, fingerprint: 'f9', answered: {traits, atMs: 20_500},
	});
	t.is(findHeldBackTrait(state.publicState, traits), undefined);
});

test('a snapshot of a version without evidence about crashes is read', t => {
	const {crashReport: _report, heldBackSettlesAtMs: _settles, ...old} = encodeState(createReplicatedState());
	t.deepEqual({...decodeState(old as EncodedState), heldBackSettlesAtMs: undefined}, createReplicatedState());
});

test('retries of suspects never share an upstream until one is cleared or its deadline passes', t => {
	let state = createReplicatedState();
	const assignRetry = (fingerprint: string, atMs = 0) => {
		const applied = apply(state, {
			kind: CommandKind.AssignRetry, atMs, fingerprint, candidateIds: ['engine-2', 'engine-3'], retryDeadlineMs: atMs + 1000,
		});
		state = applied.state;

		return applied.answer.kind === CommandResponseKind.Assigned ? applied.answer.upstreamId : 'no assignment';
	};

	for (const fingerprint of ['a', 'b', 'c']) {
		state = apply(state, {
			kind: CommandKind.ReportCrash, atMs: 0, fingerprint, organisation: 'o', requestId: fingerprint, upstreamId: 'engine-1', keepDeadlineMs: 1e6,
		}).state;
	}

	t.deepEqual([assignRetry('a'), assignRetry('b'), assignRetry('c')], ['engine-2', 'engine-3', undefined]);
	state = apply(state, {kind: CommandKind.ClearSuspicion, atMs: 10, fingerprint: 'a'}).state;
	t.is(assignRetry('c', 20), 'engine-2');
	t.is(assignRetry('a', 30), 'engine-2', 'a prompt that is no longer a suspect may use any upstream');
	state = apply(state, {
		kind: CommandKind.ReportCrash, atMs: 40, fingerprint: 'd', organisation: 'o', requestId: 'd', upstreamId: 'engine-1', keepDeadlineMs: 1e6,
	}).state;
	t.is(assignRetry('d', 50), undefined);
	t.is(assignRetry('d', 5000), 'engine-2');
});

test('decoding an encoded state restores the same state', t => {
	let {state} = apply(createReplicatedState(), createChangeCommand({changeId: 'c1', expectedVersion: 0, presetInForce: 'ordinary'}, parseItems(formatPreset('ordinary'))));
	state = apply(state, createClaimCommand('r1')).state;
	const restored = decodeState(encodeState(state));
	t.deepEqual(restored, state);
	t.is(apply(restored, createClaimCommand('r2')).answer.kind, CommandResponseKind.Running);
});

test('a key can be claimed again after it has expired', t => {
	const granted = apply(createReplicatedState(), createClaimCommand('r1'));
	const expired = apply(granted.state, {kind: CommandKind.Expire, atMs: 100_000});
	t.is(apply(expired.state, createClaimCommand('r2', 'd1', 100_000)).answer.kind, CommandResponseKind.Granted);
});

test('all findings of all files are reported, each with its line', t => {
	const {findings, items} = parseDeclarations([
		{path: 'a.yaml', text: 'kind: preset\nname: Bad Name\nweights:\n  firstToken: -1\n'},
		{path: 'b.yaml', text: 'kind: model\nname: assistant\ncolour: red\n---\nkind: nonsense\n---\nkind: model\nname: x\n---\nkind: model\nname: x\n'},
		{path: 'c.yaml', text: 'kind: [\n'},
	]);
	const locations = findings.map(finding => finding.place);
	t.true(locations.includes('a.yaml:2'));
	t.true(locations.includes('a.yaml:4'));
	t.true(locations.includes('b.yaml:3'));
	t.true(locations.includes('b.yaml:5'));
	t.true(locations.includes('b.yaml:10'));
	t.true(locations.some(location => location.startsWith('c.yaml:')));
	t.is(items.size, 1);
});
