import fs from 'node:fs/promises';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {FateEventKind, FateOutcome, Ran} from '@fescuestair/protocol';
import {type StatusReport} from '@fescuestair/control';
import {type System} from '../../index.js';
import {
	ask, book, call, countRuns, expectAnswer, joinStream, readVersion, traceRequest, waitFor, withSystem,
} from './calls.js';

async function getStatus(system: System): Promise<StatusReport> {
	const {output} = await system.runCli(['status', '--json']);

	return JSON.parse(output) as StatusReport;
}

async function findLeader(system: System) {
	const {leaderName} = await getStatus(system);

	return system.controls.find(control => control.name === leaderName)!;
}

async function isServing(system: System, entry: number): Promise<boolean> {
	try {
		const ready = await call(`http://${system.entries[entry]!.address}/readyz`);

		return ready.status === 200;
	} catch {
		return false;
	}
}

test.serial('bookings run at most once across resends, a killed leader and a killed entry', async t => {
	await withSystem({entries: 2, controls: 3}, async system => {
		const first = await book(system, {idempotencyKey: 'k1'});
		t.is(first.status, 201);
		const leader = await findLeader(system);
		leader.process.kill('SIGKILL');
		const again = await book(system, {idempotencyKey: 'k1', entry: 1});
		t.is(again.status, 201);
		t.is(again.text, first.text, 'a resend gets the recorded answer');
		t.is(again.headers['idempotency-replayed'], 'true');
		const other = await book(system, {idempotencyKey: 'k1', entry: 1, body: {work: 'other'}});
		t.is(other.status, 422);
		t.is(await countRuns(system, 'k1'), 1);

		const both = await Promise.all([0, 1].map(async entry => book(system, {idempotencyKey: 'k2', entry, query: '?delayMs=300'})));
		t.deepEqual(both.map(answer => answer.status), [201, 201]);
		t.is(both[0]!.text, both[1]!.text, 'the second waits for the first');
		t.is(await countRuns(system, 'k2'), 1);

		const lost = await book(system, {idempotencyKey: 'k3', query: '?tooLate=1'});
		t.is(lost.status, 504);
		t.true(lost.text.includes('"ran":"unknown"'));
		const resent = await book(system, {idempotencyKey: 'k3', entry: 1, query: '?tooLate=1'});
		t.is(resent.status, 504, 'sent and lost is never tried again');
		t.is(await countRuns(system, 'k3'), 1);

		const cut = book(system, {idempotencyKey: 'k4', query: '?delayMs=3000'});
		await waitFor(async () => await countRuns(system, 'k4') === 1);
		system.entries[0]!.process.kill('SIGKILL');
		await t.throwsAsync(cut);
		const afterCut = await book(system, {idempotencyKey: 'k4', entry: 1, query: '?delayMs=3000'});
		t.is(afterCut.status, 504, `answered ${afterCut.text}`);
		t.true(afterCut.text.includes('"ran":"unknown"'));
		t.is(await countRuns(system, 'k4'), 1, 'the claiming entry died and the call is not run again');
	});
});

test.serial('a booking that provably never left is refused as not run, did not run, and may run later', async t => {
	await withSystem({entries: 1, controls: 1}, async system => {
		// Until the process has ended, its listener still accepts: a booking would leave, and could not be called not run.
		system.services[0]!.process.kill('SIGKILL');
		await system.services[0]!.process.waitForExit();
		const refused = await book(system, {idempotencyKey: 'k'});
		t.is(refused.status, 503);
		t.true(refused.text.includes('"ran":"not_run"'));
		t.truthy(refused.headers['retry-after']);
		t.is(await countRuns(system, 'k'), 0);
		const fate = await traceRequest(system, refused.requestId);
		t.is(fate.outcome, FateOutcome.Refused);
		t.is(fate.ran, Ran.NotRun);
	});
});

test.serial('a resend that no majority can look up is not called not run', async t => {
	await withSystem({entries: 1, controls: 3, entryFlags: ['--stale-policy', 'serve']}, async system => {
		const booked = await book(system, {idempotencyKey: 'k'});
		t.is(booked.status, 201);

		for (const control of system.controls) {
			control.process.kill('SIGSTOP');
		}

		const resent = await book(system, {idempotencyKey: 'k'});
		t.is(resent.status, 503);
		t.true(resent.text.includes('"ran":"unknown"'));

		for (const control of system.controls) {
			control.process.kill('SIGCONT');
		}

		const again = await book(system, {idempotencyKey: 'k'});
		t.is(again.text, booked.text);
	});
});

test.serial('a booking that no majority can claim is refused with a time to return, and did not run', async t => {
	await withSystem({entries: 1, controls: 3}, async system => {
		t.is((await book(system, {idempotencyKey: 'k'})).status, 201); // eslint-disable-line unicorn/no-await-expression-member

		for (const control of system.controls) {
			control.process.kill('SIGSTOP');
		}

		const refused = await book(system, {idempotencyKey: 'other'});
		t.is(refused.status, 503);
		t.truthy(refused.headers['retry-after']);

		for (const control of system.controls) {
			control.process.kill('SIGCONT');
		}

		t.is(await countRuns(system, 'other'), 0);
		const later = await book(system, {idempotencyKey: 'third'});
		t.is(later.status, 201);
	});
});

test.serial('an accepted preset is in force on every entry, and stays so through restarts of everything', async t => {
	await withSystem({entries: 3, controls: 3}, async system => {
		const applied = await system.runCli(['preset', 'apply', 'peak']);
		t.is(applied.code, 0);
		const readPreset = async (entry: number) => {
			const answer = await ask(system, 'x', {entry, tokens: 1});
			const fate = await traceRequest(system, answer.requestId);
			const [begun] = fate.events;

			return begun !== undefined && 'preset' in begun ? begun.preset : undefined;
		};

		for (const entry of [0, 1, 2]) {
			await waitFor(async () => await readPreset(entry) === 'peak');
		}

		for (const control of system.controls) {
			control.process.kill('SIGKILL');
		}

		system.entries[0]!.process.kill('SIGKILL');
		await Promise.all(system.controls.map(async (_, index) => system.startControl(index)));
		await system.startEntry(0);
		await system.waitUntilReady();

		for (const entry of [0, 1, 2]) {
			t.is(await readPreset(entry), 'peak');
		}

		const conflict = await system.runCli(['preset', 'adjust', 'peak', 'weights.link=0.5']);
		t.is(conflict.code, 0);
		const history = await system.runCli(['config', 'history']);
		t.regex(history.output, /ana\s+put preset peak in force/v);
	});
});

test.serial('an entry that cannot tell whether its preset is in force refuses as not run, and serves again afterwards', async t => {
	await withSystem({entries: 1, controls: 3}, async system => {
		const booked = await book(system, {idempotencyKey: 'earlier'});
		t.is(booked.status, 201);

		for (const control of system.controls) {
			control.process.kill('SIGSTOP');
		}

		await waitFor(async () => !await isServing(system, 0));
		const resent = await book(system, {idempotencyKey: 'earlier'});
		t.is(resent.status, 503);
		t.regex(resent.text, /"ran":"unknown"/v, 'the call under this key has run');
		const refused = await ask(system, 'x');
		t.is(refused.status, 503);
		t.true(refused.text.includes('configuration_not_fresh'));
		t.true(refused.text.includes('not_run'));

		for (const control of system.controls) {
			control.process.kill('SIGCONT');
		}

		await waitFor(async () => isServing(system, 0));
		const answer = await ask(system, 'x', {tokens: 3});
		t.is(joinStream(answer.text), expectAnswer('x', 3));
	});
});

test.serial('a leader frozen and woken again changes nothing, and bookings go on meanwhile', async t => {
	await withSystem({entries: 1, controls: 3}, async system => {
		const leader = await findLeader(system);
		leader.process.kill('SIGSTOP');
		const booked = await book(system, {idempotencyKey: 'k'});
		t.is(booked.status, 201);
		leader.process.kill('SIGCONT');
		await sleep(1000);
		const status = await getStatus(system);
		t.not(status.leaderName, leader.name);
		const again = await book(system, {idempotencyKey: 'k'});
		t.is(again.text, booked.text);
		t.is(await countRuns(system, 'k'), 1);
	});
});

test.serial('a replica that lost its disk comes back as a new member, and the loss of a second one right after loses nothing', async t => {
	await withSystem({entries: 1, controls: 3, controlFlags: ['--snapshot-every', '10']}, async system => {
		for (let index = 0; index < 30; index++) {
			const booked = await book(system, {idempotencyKey: `k${index}`});
			t.is(booked.status, 201);
		}

		const leader = await findLeader(system);
		const [lost, second] = system.controls.filter(control => control !== leader) as [typeof leader, typeof leader];
		const oldId = (await getStatus(system)).replicas.find(replica => replica.name === lost.name)!.id; // eslint-disable-line unicorn/no-await-expression-member
		lost.process.kill('SIGKILL');
		await lost.process.waitForExit();
		await fs.rm(lost.dataFolder, {recursive: true});
		await system.startControl(system.controls.indexOf(lost));
		await waitFor(async () => {
			const replaced = await system.runCli(['control', 'add', lost.name, '--replaces', lost.name, '--control', leader.operatorAddress]);

			return replaced.code === 0;
		});
		await waitFor(async () => {
			const {replicas} = await getStatus(system);

			return replicas.length === 3 && replicas.every(replica => replica.id !== oldId && replica.role !== 'learner');
		});
		second.process.kill('SIGKILL');
		const resent = await book(system, {idempotencyKey: 'k3'});
		t.is(resent.headers['idempotency-replayed'], 'true');
		const fresh = await book(system, {idempotencyKey: 'after'});
		t.is(fresh.status, 201);
		t.is(await countRuns(system, 'k3'), 1);
	});
});

test.serial('a damaged log is refused at start with its place, and the other replicas go on', async t => {
	await withSystem({entries: 1, controls: 3}, async system => {
		await book(system, {idempotencyKey: 'k'});
		const leader = await findLeader(system);
		const damaged = system.controls.find(control => control !== leader)!;
		damaged.process.kill('SIGKILL');
		await damaged.process.waitForExit();
		const folder = `${damaged.dataFolder}/agreement`;
		const names = await fs.readdir(folder);
		const file = `${folder}/${names.find(name => name.startsWith('log-'))!}`;
		const bytes = await fs.readFile(file);
		t.true(bytes.length > 40, 'there is something to damage');
		bytes[40]! ^= 1; // eslint-disable-line no-bitwise
		await fs.writeFile(file, bytes);
		const restarted = await system.startControl(system.controls.indexOf(damaged));
		t.not(await restarted.process.waitForExit(), 0);
		t.regex(restarted.process.readOutput(), /at byte \d+/v);
		const again = await book(system, {idempotencyKey: 'k'});
		t.is(again.headers['idempotency-replayed'], 'true');
	});
});

test.serial('an upstream that leaves or is drained gets no new work within seconds', async t => {
	await withSystem({entries: 2, engines: 2}, async system => {
		const findChosen = async (entry: number) => {
			const answer = await ask(system, 'x', {entry, tokens: 2});
			const fate = await traceRequest(system, answer.requestId);
			const planned = fate.events.find(event => event.kind === FateEventKind.Planned);

			return planned?.kind === FateEventKind.Planned ? planned.candidates.map(candidate => candidate.upstreamId).toSorted() : [];
		};

		const before = await readVersion(system, 0);
		const drained = await system.runCli(['drain', 'engine-1']);
		t.is(drained.code, 0);

		for (const entry of [0, 1]) {
			await waitFor(async () => await readVersion(system, entry) > before);
			t.deepEqual(await findChosen(entry), ['engine-2']);
		}

		await system.runCli(['drain', 'engine-1', '--undo']);
		await waitFor(async () => await readVersion(system, 1) > before + 1);
		t.deepEqual(await findChosen(1), ['engine-1', 'engine-2']);
		system.engines[1]!.process.kill('SIGTERM');
		await system.engines[1]!.process.waitForExit();
		await waitFor(async () => {
			const candidates = await findChosen(1);

			return !candidates.includes('engine-2');
		});
		t.deepEqual(await findChosen(1), ['engine-1']);
	});
});

test.serial('new weights are loaded two at a time by fenced orders, and an old or foreign order is refused', async t => {
	await withSystem({
		entries: 1, controls: 3, engines: 4, engineFlags: ['--load-ms', '1500'],
	}, async system => {
		const declarations = await fs.readFile(`${system.folder}/declarations.yaml`, 'utf8');
		const file = `${system.folder}/next.yaml`;
		await fs.writeFile(file, declarations.replace('name: assistant', 'name: assistant\nweightVersion: "2"'));
		const applied = await system.runCli(['config', 'apply', file]);
		t.is(applied.code, 0);
		const listVersions = async () => {
			const {output} = await system.runCli(['upstreams', '--json']);
			const rows = JSON.parse(output) as ReadonlyArray<{id: string; details: {weightVersion?: string; kind: string}}>;

			return rows.filter(row => row.details.kind === 'engine').map(row => row.details.weightVersion);
		};

		await waitFor(async () => {
			const versions = await listVersions();

			return versions.every(version => version === '2');
		});
		const answer = await ask(system, 'x', {tokens: 3});
		t.is(joinStream(answer.text), expectAnswer('x', 3));
		const orderTimes = system.controls
			.flatMap(control => control.process.readOutput().split('\n'))
			.filter(line => line.includes('order given'))
			.map(line => Date.parse((JSON.parse(line) as {time: string}).time))
			.toSorted((a, b) => a - b);
		t.is(orderTimes.length, 4);
		t.true(orderTimes[2]! - orderTimes[0]! >= 1400, 'a third load waits for one of the first two');
		const sendOrder = async (engine: number, key: string) => call(`http://${system.engines[engine]!.address}/v1/orders`, {
			method: 'POST', key, headers: {'x-fencing-token': '1'}, body: {kind: 'load', weightVersion: '1'},
		});
		const foreign = await sendOrder(0, 'foreign');
		t.is(foreign.status, 403);
		const unchecked = await sendOrder(1, 'foreign');
		t.is(unchecked.status, 202, 'an engine that checks nothing obeys anyone');
		await waitFor(async () => {
			const versions = await listVersions();

			return versions.includes('1');
		});
		// What an old order undid is corrected.
		await waitFor(async () => {
			const versions = await listVersions();

			return versions.every(version => version === '2');
		});
	});
});

test.serial('operators who race under equal numbers are told, and wrong declarations are refused with all places', async t => {
	await withSystem({entries: 1, controls: 1}, async system => {
		const file = `${system.folder}/bad.yaml`;
		await fs.writeFile(file, 'kind: preset\nname: x\nweights: {firstToken: -1}\n---\nkind: model\nname: Y\n');
		const bad = await system.runCli(['config', 'apply', file]);
		t.is(bad.code, 2);
		t.regex(bad.output, /bad\.yaml:3/v);
		t.regex(bad.output, /bad\.yaml:6/v);
		const dry = await system.runCli(['config', 'apply', `${system.folder}/declarations.yaml`, '--dry-run']);
		t.is(dry.output, 'no change');
		const removal = await system.runCli(['config', 'apply', '/dev/null']);
		t.is(removal.code, 2, 'the preset in force cannot be removed');
		const unknown = await system.runCli(['trace', 'r-000000000-0000000000000000']);
		t.is(unknown.code, 4);
		const noKey = await system.runCli(['status', '--key', 'wrong']);
		t.is(noKey.code, 1);
	});
});
