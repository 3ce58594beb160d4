import {Buffer} from 'node:buffer';
import net from 'node:net';
import test from 'ava';
import OpenAI from 'openai';
import {request} from 'undici';
import {AttemptEnd, FateEventKind, FateOutcome} from '@fescuestair/protocol';
import {type System} from '../../index.js';
import {
	ask, call, type Answer, createPromptBody, expectAnswer, joinStream, readVersion, traceRequest, waitFor, withSystem,
} from './calls.js';

const question = 'Which oil does a rickshaw take?';

/** Begins a streamed answer and gives back control after some tokens. */
async function beginStream(system: System, content: string, {tokens, entry = 0}: {tokens: number; entry?: number}) {
	const response = await request(`http://${system.entries[entry]!.address}/v1/chat/completions`, {
		method: 'POST',
		headers: {authorization: `Bearer ${system.organisationKey}`, 'content-type': 'application/json'},
		body: JSON.stringify(createPromptBody(content, tokens)),
	});
	let text = '';
	let isWhole = false;
	const ended = (async () => {
		try {
			for await (const chunk of response.body) {
				text += String(chunk);
			}

			isWhole = true;
		} catch {
			isWhole = false;
		}
	})();
	await waitFor(async () => joinStream(text).split(' ').length > 5);

	return {
		requestId: String(response.headers['x-request-id']),
		readText: () => text,
		async waitForEnd() {
			await ended;

			return {text, isWhole};
		},
	};
}

test.serial('the unchanged openai client works, streaming and not', async t => {
	await withSystem({}, async system => {
		const client = new OpenAI({baseURL: `http://${system.entries[0]!.address}/v1`, apiKey: system.organisationKey});
		const messages = [{role: 'user' as const, content: question}];
		const whole = await client.chat.completions.create({model: 'assistant', messages, max_completion_tokens: 10});
		t.is(whole.choices[0]?.message.content, expectAnswer(question, 10));
		const stream = await client.chat.completions.create({
			model: 'assistant', messages, max_completion_tokens: 10, stream: true,
		});
		let text = '';

		for await (const chunk of stream) {
			text += chunk.choices[0]?.delta.content ?? '';
		}

		t.is(text, expectAnswer(question, 10));
		const models = await client.models.list();
		t.deepEqual(models.data.map(model => model.id), ['assistant']);
		await t.throwsAsync(client.chat.completions.create({model: 'absent', messages}), {instanceOf: OpenAI.NotFoundError});
	});
});

test.serial('an engine killed in the middle of an answer is replaced without losing or repeating a token', async t => {
	await withSystem({engines: 2, engineFlags: ['--decode-ms', '20']}, async system => {
		const stream = await beginStream(system, question, {tokens: 300});
		const trace = await traceRequest(system, stream.requestId);
		const sent = trace.events.find(event => event.kind === FateEventKind.Dispatched);
		t.is(trace.outcome, FateOutcome.Running);
		system.engines.find(engine => sent?.kind === FateEventKind.Dispatched && engine.id === sent.upstreamId)!.process.kill('SIGKILL');
		const {text, isWhole} = await stream.waitForEnd();
		t.true(isWhole);
		t.is(joinStream(text), expectAnswer(question, 300));
		const fate = await traceRequest(system, stream.requestId);
		t.is(fate.outcome, FateOutcome.Complete);
		t.is(fate.events.filter(event => event.kind === FateEventKind.Dispatched).length, 2);
	});
});

test.serial('an engine frozen in the middle of an answer is given up and its late tokens are dropped', async t => {
	await withSystem({engines: 2, engineFlags: ['--decode-ms', '20']}, async system => {
		const stream = await beginStream(system, question, {tokens: 300});
		const trace = await traceRequest(system, stream.requestId);
		const sent = trace.events.find(event => event.kind === FateEventKind.Dispatched);
		const frozen = system.engines.find(engine => sent?.kind === FateEventKind.Dispatched && engine.id === sent.upstreamId)!;
		frozen.process.kill('SIGSTOP');
		const {text, isWhole} = await stream.waitForEnd();
		frozen.process.kill('SIGCONT');
		t.true(isWhole);
		t.is(joinStream(text), expectAnswer(question, 300));
		const fate = await traceRequest(system, stream.requestId);
		t.true(fate.events.some(event => event.kind === FateEventKind.AttemptEnded && event.end === AttemptEnd.Silent));
	});
});

test.serial('after kill -9 of an entry the answer goes on at another entry, and the fate is true', async t => {
	await withSystem({entries: 2, engineFlags: ['--decode-ms', '20']}, async system => {
		const stream = await beginStream(system, question, {tokens: 80});
		system.entries[0]!.process.kill('SIGKILL');
		const {text, isWhole} = await stream.waitForEnd();
		t.false(isWhole, 'a part is not taken for the whole');
		const lastEventId = text.split('\n').findLast(line => line.startsWith('id: '))!.slice(4);
		// An event cut short has no end; what stands before it has arrived.
		const first = joinStream(text.slice(0, text.lastIndexOf('\n\n') + 2));
		const tokens = first.trim().split(' ').length;
		t.true(lastEventId.endsWith(`:${tokens}`));
		const resumed = await call(`http://${system.entries[1]!.address}/v1/chat/completions`, {
			method: 'POST', key: system.organisationKey, body: createPromptBody(question, 80), headers: {'last-event-id': lastEventId},
		});
		t.is(first + joinStream(resumed.text), expectAnswer(question, 80));
		const foreign = await call(`http://${system.entries[1]!.address}/v1/chat/completions`, {
			method: 'POST', key: system.otherOrganisationKey, body: createPromptBody(question, 80), headers: {'last-event-id': lastEventId},
		});
		t.is(foreign.status, 410, 'another organisation cannot resume it');
		await waitFor(async () => {
			const fate = await traceRequest(system, stream.requestId);

			return fate.outcome === FateOutcome.EntryLost;
		});
	});
});

test.serial('a planned stop of an entry under load cuts nothing', async t => {
	await withSystem({entries: 2, engineFlags: ['--decode-ms', '20', '--slots', '32']}, async system => {
		const streams = await Promise.all(Array.from({length: 8}, async (_, index) => beginStream(system, `${question} ${index}`, {tokens: 150})));
		system.entries[0]!.process.kill('SIGTERM');
		// A caller that kept the address still gets an answer.
		const late = await ask(system, 'late', {tokens: 5});
		t.is(joinStream(late.text), expectAnswer('late', 5));
		await waitFor(async () => {
			const list = await call(`http://${system.entries[1]!.address}/v1/entries`);

			return !list.text.includes('entry-1');
		});
		const ends = await Promise.all(streams.map(async stream => stream.waitForEnd()));
		t.true(ends.every(end => end.isWhole));
		t.deepEqual(ends.map(end => joinStream(end.text)), streams.map((_, index) => expectAnswer(`${question} ${index}`, 150)));
		t.is(await system.entries[0]!.process.waitForExit(), 0);
	});
});

test.serial('a prompt that crashes engines is quarantined by the second crash everywhere, and an innocent one is answered', async t => {
	await withSystem({entries: 2, engines: 3, engineFlags: ['--decode-ms', '20']}, async system => {
		const innocent = await beginStream(system, question, {tokens: 200});
		const before = await readVersion(system, 1);
		const crash = await ask(system, 'CRASH-THE-ENGINE');
		t.is(crash.status, 422);
		t.true(crash.text.includes('quarantined'));
		t.is(system.engines.filter(engine => engine.process.isRunning()).length, 1, 'two engines crashed, and no third');
		const {text, isWhole} = await innocent.waitForEnd();
		t.true(isWhole);
		t.is(joinStream(text), expectAnswer(question, 200));
		await waitFor(async () => await readVersion(system, 1) > before);
		const again = await ask(system, 'CRASH-THE-ENGINE', {entry: 1});
		t.is(again.status, 422);
		t.true(again.text.includes('not_run'));
		t.is(system.engines.filter(engine => engine.process.isRunning()).length, 1);
	});
});

/** Opens a bare connection and sends some bytes; resolves with all that comes back once the other side has closed it. */
function sendBytes(address: string, bytes: Uint8Array | string): {readonly socket: net.Socket; readonly received: Promise<string>} {
	const {hostname, port} = new URL(`http://${address}`);
	const socket = net.connect(Number(port), hostname);
	socket.write(bytes);
	let text = '';
	socket.on('data', data => {
		text += String(data);
	});
	// A reset is one way of closing.
	socket.on('error', () => undefined);

	return {
		socket,
		received: new Promise(resolve => {
			socket.once('close', () => {
				resolve(text);
			});
		}),
	};
}

function createHead(system: System, length: number): string {
	return [
		'POST /v1/chat/completions HTTP/1.1',
		'host: entry',
		`authorization: Bearer ${system.organisationKey}`,
		'content-type: application/json',
		`content-length: ${length}`,
		'connection: close',
		'',
		'',
	].join('\r\n');
}

test.serial('slow headers, a cut body and broken UTF-8 end cleanly and leave the entry whole', async t => {
	await withSystem({}, async system => {
		const {address} = system.entries[0]!;
		const slow = sendBytes(address, 'POST /v1/chat/completions HTTP/1.1\r\nhost: ent');
		const cut = sendBytes(address, `${createHead(system, 1000)}{"model": "assis`);
		setTimeout(() => cut.socket.destroy(), 200);
		const broken = sendBytes(address, Buffer.concat([Buffer.from(createHead(system, 4)), Buffer.from([0x7B, 0xFF, 0xFE, 0x7D])]));
		t.regex(await broken.received, /^HTTP\/1\.1 400 .*bad_json/sv);
		t.is(await cut.received, '');
		t.regex(await slow.received, /^(?:HTTP\/1\.1 408 .*)?$/sv);
		const good = await ask(system, 'x', {tokens: 3});
		t.is(joinStream(good.text), expectAnswer('x', 3));
	});
});

test.serial('bad requests get clear errors and leave the entry whole', async t => {
	await withSystem({}, async system => {
		const url = `http://${system.entries[0]!.address}`;
		const chat = `${url}/v1/chat/completions`;
		const key = system.organisationKey;
		const cases: ReadonlyArray<readonly [string, Promise<Answer>, number, string]> = [
			['no key', call(chat, {method: 'POST', body: {}}), 401, 'unauthorized'],
			['wrong key', call(chat, {method: 'POST', key: 'x', body: {}}), 401, 'unauthorized'],
			['bad JSON', call(chat, {method: 'POST', key, body: '{'}), 400, 'bad_json'],
			['wrong types', call(chat, {method: 'POST', key, body: {model: 1, messages: 'x'}}), 400, 'bad_request'],
			['unknown model', call(chat, {method: 'POST', key, body: {...createPromptBody('x', 1), model: 'absent'}}), 404, 'unknown_model'],
			['too large', call(chat, {method: 'POST', key, body: 'x'.repeat(16_000_001)}), 413, 'too_large'],
			['unknown path', call(`${url}/v2/x`, {key}), 404, 'not_found'],
			['unknown service', call(`${url}/v1/services/absent/x`, {key}), 404, 'unknown_service'],
			['no idempotency key', call(`${url}/v1/services/work-orders/x`, {method: 'POST', key, body: {}}), 400, 'idempotency_key_required'],
			['wrong method', call(chat, {key}), 405, 'method_not_allowed'],
			['bad event id', call(chat, {
				method: 'POST', key, body: createPromptBody('x', 1), headers: {'last-event-id': '\'; drop'},
			}), 400, 'bad_request'],
			['too short a deadline', call(chat, {
				method: 'POST', key, body: createPromptBody('x'.repeat(400_000), 1), headers: {'x-timeout-ms': '1000'},
			}), 503, 'deadline_too_short'],
		];

		for (const [description, pending, status, code] of cases) {
			const answer = await pending;
			const {error} = JSON.parse(answer.text) as {error: {code: string; request_id: string; ran: string}};
			t.deepEqual(
				{
					description, status: answer.status, code: error.code, ran: error.ran,
				},
				{
					description, status, code, ran: 'not_run',
				},
			);
			t.regex(error.request_id, /^r-/v);
		}

		const badJson = await call(chat, {method: 'POST', key, body: '{'});
		await waitFor(async () => {
			const looked = await call(`${url}/v1/requests/${badJson.requestId}`, {key});

			return looked.status === 200;
		});
		const fate = await traceRequest(system, badJson.requestId);
		t.is(fate.summary, 'refused: bad_json, status 400, not_run');
		const revoked = await call(`${url}/v1/services/work-orders/x`, {
			method: 'POST', key: 'revoked', body: {}, idempotencyKey: 'earlier',
		});
		t.regex(revoked.text, /"ran":"unknown"/v, 'an earlier call under this key may have run');
		const good = await ask(system, 'x', {tokens: 3});
		t.is(joinStream(good.text), expectAnswer('x', 3));
		const foreign = await call(`${url}/v1/requests/${good.requestId}`, {key: system.otherOrganisationKey});
		t.is(foreign.status, 404, 'another organisation\'s request looks like none');
	});
});
