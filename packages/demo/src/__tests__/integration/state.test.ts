import fs from 'node:fs/promises';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {RequestEventKind, RequestOutcome, ExecutionStatus} from '@fescuestair/protocol';
import {type StatusReport} from '@fescuestair/control';
import {type System} from '../../index.js';
import {
	sendPrompt, bookWorkOrder, sendRequest, countExecutions, createExpectedText, joinStreamedText, readConfigurationVersion, traceRequest, waitUntil, withSystem,
} from './test-helpers.js';

async function getStatus(system: System): Promise<StatusReport> {
	const {output} = await system.runCli(['status', '--json']);

	return JSON.parse(output) as StatusReport;
}

async function findLeader(system: System) {
	const {leaderName} = await getStatus(system);

	return system.controls.find(control => control.name === leaderName)!;
}

async function isEntryReady(system: System, entry: number): Promise<boolean> {
	try {
		const ready = await sendRequest(`http://${system.entries[entry]!.address}/readyz`);

		return ready.status === 200;
	} catch {
		return false;
	}
}

// Guards against an answer whose end is that of the connection, which a killed entry gives too.
test.serial('an answer of a service that ends with its connection is relayed and replayed with the length that it had', async t => {
	await withSystem({}, async system => {
		for (const isReplay of [false, true]) {
			const {status, text, headers} = await bookWorkOrder(system, {idempotencyKey: 'k1', query: '?cut=1'});
			t.deepEqual({status, text}, {status: 201, text: '{"booked":'});
			t.is(headers['content-length'], String(text.length));
			t.is(headers['transfer-encoding'], undefined);
			t.is(headers['idempotency-replayed'], isReplay ? 'true' : undefined);
		}

		t.is(await countExecutions(system, 'k1'), 1);
	});
});

test.serial('bookings run at most once across resends, a killed leader and a killed entry', async t => {
	await withSystem({entries: 2, controls: 3}, async system => {
		const first = await bookWorkOrder(system, {idempotencyKey: 'k1'});
		t.is(first.status, 201);
		const leader = await findLeader(system);
		leader.process.kill('SIGKILL');
		const again = await bookWorkOrder(system, {idempotencyKey: 'k1', entry: 1});
		t.is(again.status, 201);
		t.is(again.text, first.text, 'a resend gets the recorded response');
		t.is(again.headers['idempotency-replayed'], 'true');
		const other = await bookWorkOrder(system, {idempotencyKey: 'k1', entry: 1, body: {work: 'other'}});
		t.is(other.status, 422);
		t.is(await countExecutions(system, 'k1'), 1);

		const concurrent = await Promise.all([0, 1].map(async entry => bookWorkOrder(system, {idempotencyKey: 'k2', entry, query: '?delayMs=300'})));
		t.deepEqual(concurrent.map(response => response.status), [201, 201]);
		t.is(concurrent[0]!.text, concurrent[1]!.text, 'the second waits for the first');
		t.is(await countExecutions(system, 'k2'), 1);

		const lost = await bookWorkOrder(system, {idempotencyKey: 'k3', query: '?tooLate=1'});
		t.is(lost.status, 504);
		t.true(lost.text.includes('"ran":"unknown"'));
		const resent = await bookWorkOrder(system, {idempotencyKey: 'k3', entry: 1, query: '?tooLate=1'});
		t.is(resent.status, 504, 'a call that was sent and whose response was lost is not retried');
		t.is(await countExecutions(system, 'k3'), 1);

		const interrupted = bookWorkOrder(system, {idempotencyKey: 'k4', query: '?delayMs=3000'});
		await waitUntil(async () => await countExecutions(system, 'k4') === 1);
		system.entries[0]!.process.kill('SIGKILL');
		await t.throwsAsync(interrupted);
		const afterKill = await bookWorkOrder(system, {idempotencyKey: 'k4', entry: 1, query: '?delayMs=3000'});
		t.is(afterKill.status, 504, `answered ${afterKill.text}`);
		t.true(afterKill.text.includes('"ran":"unknown"'));
		t.is(await countExecutions(system, 'k4'), 1, 'a call whose claiming entry was killed is not executed again');
	});
});

test.serial('a booking that could not be sent is refused with "not_run" and a time to retry, and was not executed', async t => {
	await withSystem({entries: 1, controls: 1}, async system => {
		// Until the process has exited, its listener still accepts connections: the booking could be sent, and "not_run" would be wrong.
		system.services[0]!.process.kill('SIGKILL');
		await system.services[0]!.process.waitForExit();
		const refused = await bookWorkOrder(system, {idempotencyKey: 'k'});
		t.is(refused.status, 503);
		t.true(refused.text.includes('"ran":"not_run"'));
		t.truthy(refused.headers['retry-after']);
		t.is(await countExecutions(system, 'k'), 0);
		const requestHistory = await traceRequest(system, refused.requestId);
		t.is(requestHistory.outcome, RequestOutcome.Refused);
		t.is(requestHistory.ran, ExecutionStatus.NotRun);
	});
});

test.serial('without a majority, a resend of an executed booking is refused with "unknown" and not with "not_run"', async t => {
	await withSystem({entries: 1, controls: 3, entryFlags: ['--stale-policy', 'serve']}, async system => {
		const booked = await bookWorkOrder(system, {idempotencyKey: 'k'});
		t.is(booked.status, 201);

		for (const control of system.controls) {
			control.process.kill('SIGSTOP');
		}

		const resent = await bookWorkOrder(system, {idempotencyKey: 'k'});
		t.is(resent.status, 503);
		t.true(resent.text.includes('"ran":"unknown"'));

		for (const control of system.controls) {
			control.process.kill('SIGCONT');
		}

		const again = await bookWorkOrder(system, {idempotencyKey: 'k'});
		t.is(again.text, booked.text);
	});
});

test.serial('without a majority, a new booking is refused with a time to retry, and was not executed', async t => {
	await withSystem({entries: 1, controls: 3}, async system => {
		t.is((await bookWorkOrder(system, {idempotencyKey: 'k'})).status, 201); // eslint-disable-line unicorn/no-await-expression-member

		for (const control of system.controls) {
			control.process.kill('SIGSTOP');
		}

		const refused = await bookWorkOrder(system, {idempotencyKey: 'other'});
		t.is(refused.status, 503);
		t.truthy(refused.headers['retry-after']);

		for (const control of system.controls) {
			control.process.kill('SIGCONT');
		}

		t.is(await countExecutions(system, 'other'), 0);
		const later = await bookWorkOrder(system, {idempotencyKey: 'third'});
		t.is(later.status, 201);
	});
});

test.serial('an applied preset takes effect on every entry, and stays in force when all control replicas and an entry restart', async t => {
	await withSystem({entries: 3, controls: 3}, async system => {
		const applied = await system.runCli(['preset', 'apply', 'peak']);
		t.is(applied.code, 0);
		const readPresetInForce = async (entry: number) => {
			const response = await sendPrompt(system, 'x', {entry, tokens: 1});
			const requestHistory = await traceRequest(system, response.requestId);
			const [firstEvent] = requestHistory.events;

			return firstEvent !== undefined && 'preset' in firstEvent ? firstEvent.preset : undefined;
		};

		for (const entry of [0, 1, 2]) {
			await waitUntil(async () => await readPresetInForce(entry) === 'peak');
		}

		for (const control of system.controls) {
			control.process.kill('SIGKILL');
		}

		system.entries[0]!.process.kill('SIGKILL');
		await Promise.all(system.controls.map(async (_, index) => system.startControl(index)));
		await system.startEntry(0);
		await system.waitUntilReady();

		for (const entry of [0, 1, 2]) {
			t.is(await readPresetInForce(entry), 'peak');
		}

		const conflict = await system.runCli(['preset', 'adjust', 'peak', 'weights.link=0.5']);
		t.is(conflict.code, 0);
		const history = await system.runCli(['config', 'history']);
		t.regex(history.output, /ana\s+put preset peak in force/v);
	});
});

test.serial('an entry that cannot confirm its preset refuses prompts with "not_run", and serves again once the control replicas respond', async t => {
	await withSystem({entries: 1, controls: 3}, async system => {
		const booked = await bookWorkOrder(system, {idempotencyKey: 'earlier'});
		t.is(booked.status, 201);

		for (const control of system.controls) {
			control.process.kill('SIGSTOP');
		}

		await waitUntil(async () => !await isEntryReady(system, 0));
		const resent = await bookWorkOrder(system, {idempotencyKey: 'earlier'});
		t.is(resent.status, 503);
		t.regex(resent.text, /"ran":"unknown"/v, 'the call with this key was executed');
		const refused = await sendPrompt(system, 'x');
		t.is(refused.status, 503);
		t.true(refused.text.includes('configuration_not_fresh'));
		t.true(refused.text.includes('not_run'));

		for (const control of system.controls) {
			control.process.kill('SIGCONT');
		}

		await waitUntil(async () => isEntryReady(system, 0));
		const response = await sendPrompt(system, 'x', {tokens: 3});
		t.is(joinStreamedText(response.text), createExpectedText('x', 3));
	});
});

test.serial('bookings continue while the leader is frozen, and once resumed it neither leads nor changes a result', async t => {
	await withSystem({entries: 1, controls: 3}, async system => {
		const leader = await findLeader(system);
		leader.process.kill('SIGSTOP');
		const booked = await bookWorkOrder(system, {idempotencyKey: 'k'});
		t.is(booked.status, 201);
		leader.process.kill('SIGCONT');
		await sleep(1000);
		const status = await getStatus(system);
		t.not(status.leaderName, leader.name);
		const again = await bookWorkOrder(system, {idempotencyKey: 'k'});
		t.is(again.text, booked.text);
		t.is(await countExecutions(system, 'k'), 1);
	});
});

test.serial('a replica that lost its disk rejoins as a new member, and killing a second replica right afterwards loses no data', async t => {
	await withSystem({entries: 1, controls: 3, controlFlags: ['--snapshot-every', '10']}, async system => {
		for (let index = 0; index < 30; index++) {
			const booked = await bookWorkOrder(system, {idempotencyKey: `k${index}`});
			t.is(booked.status, 201);
		}

		const leader = await findLeader(system);
		const [lost, second] = system.controls.filter(control => control !== leader) as [typeof leader, typeof leader];
		const oldId = (await getStatus(system)).replicas.find(replica => replica.name === lost.name)!.id; // eslint-disable-line unicorn/no-await-expression-member
		lost.process.kill('SIGKILL');
		await lost.process.waitForExit();
		await fs.rm(lost.dataFolder, {recursive: true});
		await system.startControl(system.controls.indexOf(lost));
		await waitUntil(async () => {
			const replaced = await system.runCli(['control', 'add', lost.name, '--replaces', lost.name, '--control', leader.operatorAddress]);

			return replaced.code === 0;
		});
		await waitUntil(async () => {
			const {replicas} = await getStatus(system);

			return replicas.length === 3 && replicas.every(replica => replica.id !== oldId && replica.role !== 'learner');
		});
		second.process.kill('SIGKILL');
		const resent = await bookWorkOrder(system, {idempotencyKey: 'k3'});
		t.is(resent.headers['idempotency-replayed'], 'true');
		const fresh = await bookWorkOrder(system, {idempotencyKey: 'after'});
		t.is(fresh.status, 201);
		t.is(await countExecutions(system, 'k3'), 1);
	});
});

test.serial('a replica with a corrupt log refuses to start and reports the byte offset, and the other replicas continue', async t => {
	await withSystem({entries: 1, controls: 3}, async system => {
		await bookWorkOrder(system, {idempotencyKey: 'k'});
		const leader = await findLeader(system);
		const damaged = system.controls.find(control => control !== leader)!;
		damaged.process.kill('SIGKILL');
		await damaged.process.waitForExit();
		const folder = `${damaged.dataFolder}/agreement`;
		const names = await fs.readdir(folder);
		const file = `${folder}/${names.find(name => name.startsWith('log-'))!}`;
		const bytes = await fs.readFile(file);
		t.true(bytes.length > 40, 'the log contains the byte that is corrupted');
		bytes[40]! ^= 1; // eslint-disable-line no-bitwise
		await fs.writeFile(file, bytes);
		const restarted = await system.startControl(system.controls.indexOf(damaged));
		t.not(await restarted.process.waitForExit(), 0);
		t.regex(restarted.process.readOutput(), /at byte \d+/v);
		const again = await bookWorkOrder(system, {idempotencyKey: 'k'});
		t.is(again.headers['idempotency-replayed'], 'true');
	});
});

test.serial('an upstream that is drained or leaves is no longer a candidate for new requests', async t => {
	await withSystem({entries: 2, engines: 2}, async system => {
		const listCandidates = async (entry: number) => {
			const response = await sendPrompt(system, 'x', {entry, tokens: 2});
			const requestHistory = await traceRequest(system, response.requestId);
			const planned = requestHistory.events.find(event => event.kind === RequestEventKind.Planned);

			return planned?.kind === RequestEventKind.Planned ? planned.candidates.map(candidate => candidate.upstreamId).toSorted() : [];
		};

		const before = await readConfigurationVersion(system, 0);
		const drained = await system.runCli(['drain', 'engine-1']);
		t.is(drained.code, 0);

		for (const entry of [0, 1]) {
			await waitUntil(async () => await readConfigurationVersion(system, entry) > before);
			t.deepEqual(await listCandidates(entry), ['engine-2']);
		}

		await system.runCli(['drain', 'engine-1', '--undo']);
		await waitUntil(async () => await readConfigurationVersion(system, 1) > before + 1);
		t.deepEqual(await listCandidates(1), ['engine-1', 'engine-2']);
		system.engines[1]!.process.kill('SIGTERM');
		await system.engines[1]!.process.waitForExit();
		await waitUntil(async () => {
			const candidates = await listCandidates(1);

			return !candidates.includes('engine-2');
		});
		t.deepEqual(await listCandidates(1), ['engine-1']);
	});
});

test.serial('new weights are loaded by at most two engines at a time under fenced orders, and unauthorized orders are rejected or corrected', async t => {
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

		await waitUntil(async () => {
			const versions = await listVersions();

			return versions.every(version => version === '2');
		});
		const response = await sendPrompt(system, 'x', {tokens: 3});
		t.is(joinStreamedText(response.text), createExpectedText('x', 3));
		const listOrders = () => system.controls
			.flatMap(control => control.process.readOutput().split('\n'))
			.filter(line => line.includes('order given') && line.endsWith('}'))
			.map(line => JSON.parse(line) as {readonly time: string; readonly upstreamId: string; readonly weightVersion: string});
		const orderTimesMs = listOrders().map(({time}) => Date.parse(time)).toSorted((a, b) => a - b);
		t.is(orderTimesMs.length, 4);
		t.true(orderTimesMs[2]! - orderTimesMs[0]! >= 1400, 'a third load waits for one of the first two');
		const sendOrder = async (engine: number, key: string) => sendRequest(`http://${system.engines[engine]!.address}/v1/orders`, {
			method: 'POST', key, headers: {'x-fencing-token': '1'}, body: {kind: 'load', weightVersion: '1'},
		});
		const foreign = await sendOrder(0, 'foreign');
		t.is(foreign.status, 403);
		const withoutCheck = await sendOrder(1, 'foreign');
		t.is(withoutCheck.status, 202, 'an engine without an order key accepts any order');
		// The old version is there for a moment only, too short to be seen by the command line beside load. The order that corrects it stays in the log.
		await waitUntil(async () => listOrders().length > orderTimesMs.length);
		t.like(listOrders().toSorted((one, other) => Date.parse(one.time) - Date.parse(other.time)).at(-1), {upstreamId: 'engine-2', weightVersion: '2'});
		await waitUntil(async () => {
			const versions = await listVersions();

			return versions.every(version => version === '2');
		});
	});
});

test.serial('invalid declarations are rejected with all positions, and failed commands exit with specific codes', async t => {
	await withSystem({entries: 1, controls: 1}, async system => {
		const file = `${system.folder}/bad.yaml`;
		await fs.writeFile(file, 'kind: preset\nname: x\nweights: {firstToken: -1}\n---\nkind: model\nname: Y\n');
		const bad = await system.runCli(['config', 'apply', file]);
		t.is(bad.code, 2);
		t.regex(bad.output, /bad\.yaml:3/v);
		t.regex(bad.output, /bad\.yaml:6/v);
		const dry = await system.runCli(['config', 'apply', `${system.folder}/declarations.yaml`, '--dry-run']);
		t.is(dry.output, 'no change');
		const against = ['--against', system.controls[0]!.operatorAddress];
		const checked = await system.runCli(['config', 'check', `${system.folder}/declarations.yaml`, ...against]);
		t.deepEqual(checked, {code: 0, output: 'the declarations would be accepted\nnothing differs from configuration version 1'});
		const badCheck = await system.runCli(['config', 'check', file, ...against]);
		t.is(badCheck.code, 2);
		t.is(badCheck.output.slice(badCheck.output.indexOf('\n') + 1).replaceAll('  ', ''), bad.output);
		const emptyCheck = await system.runCli(['config', 'check', '/dev/null', '--strict', ...against]);
		t.is(emptyCheck.code, 2);
		t.regex(emptyCheck.output, /preset\/ordinary: is in force and cannot be removed/v);
		const strict = await system.runCli(['config', 'check', '/dev/null', '--strict', '--output', 'json']);
		t.is(strict.code, 1);
		t.is((JSON.parse(strict.output) as {readonly warnings: readonly unknown[]}).warnings.length, 2);
		const removal = await system.runCli(['config', 'apply', '/dev/null']);
		t.is(removal.code, 2, 'the preset in force cannot be removed');
		const unknown = await system.runCli(['trace', 'r-000000000-0000000000000000']);
		t.is(unknown.code, 4);
		const noKey = await system.runCli(['status', '--key', 'wrong']);
		t.is(noKey.code, 1);
	});
});

test.serial('a call that an entry has to stop before it is answered is refused, and its booking runs once', async t => {
	await withSystem({entries: 2, entryFlags: ['--stop-timeout-ms', '500']}, async system => {
		const read = sendRequest(`http://${system.entries[0]!.address}/v1/services/work-orders/orders?delayMs=6000`, {key: system.organisationKey});
		const booking = bookWorkOrder(system, {idempotencyKey: 'stopped', query: '?delayMs=6000'});
		await waitUntil(async () => await countExecutions(system, 'stopped') === 1);
		system.entries[0]!.process.kill('SIGTERM');

		for (const {status, text} of await Promise.all([read, booking])) {
			t.is(status, 503);
			t.like(JSON.parse(text), {error: {code: 'stopping', ran: 'unknown'}});
		}

		t.is(await system.entries[0]!.process.waitForExit(), 1, 'the requests were cut');
		const resent = await bookWorkOrder(system, {entry: 1, idempotencyKey: 'stopped', query: '?delayMs=6000'});
		t.not(resent.status, 503);
		t.is(await countExecutions(system, 'stopped'), 1);
	});
});
