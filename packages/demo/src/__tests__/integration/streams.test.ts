import {Buffer} from 'node:buffer';
import net from 'node:net';
import test from 'ava';
import OpenAI from 'openai';
import {request} from 'undici';
import {AttemptOutcome, RequestEventKind, RequestOutcome} from '@fescuestair/protocol';
import {type System} from '../../index.js';
import {
	sendPrompt, sendRequest, type HttpResponse, createPromptBody, createExpectedText, joinStreamedText, readConfigurationVersion, traceRequest, waitUntil, withSystem,
} from './test-helpers.js';

const question = 'Which oil does a rickshaw take?';

/** Starts a streamed response and resolves once five tokens have arrived. */
async function startStream(system: System, content: string, {tokens, entry = 0, headers = {}}: {tokens: number; entry?: number; headers?: Readonly<Record<string, string>>}) {
	const response = await request(`http://${system.entries[entry]!.address}/v1/chat/completions`, {
		method: 'POST',
		headers: {authorization: `Bearer ${system.organisationKey}`, 'content-type': 'application/json', ...headers},
		body: JSON.stringify(createPromptBody(content, tokens)),
	});

	if (response.statusCode !== 200) {
		throw new Error(`status ${response.statusCode}: ${await response.body.text()}`);
	}

	let text = '';
	let isWhole = false;
	const streamEnd = (async () => {
		try {
			for await (const chunk of response.body) {
				text += String(chunk);
			}

			isWhole = true;
		} catch {
			isWhole = false;
		}
	})();
	await waitUntil(async () => joinStreamedText(text).split(' ').length > 5);

	return {
		requestId: String(response.headers['x-request-id']),
		readText: () => text,
		leave() {
			response.body.destroy();
		},
		async waitForEnd() {
			await streamEnd;

			return {text, isWhole};
		},
	};
}

test.serial('the unmodified openai client works, with and without streaming', async t => {
	await withSystem({}, async system => {
		const client = new OpenAI({baseURL: `http://${system.entries[0]!.address}/v1`, apiKey: system.organisationKey});
		const messages = [{role: 'user' as const, content: question}];
		const completion = await client.chat.completions.create({model: 'assistant', messages, max_completion_tokens: 10});
		t.is(completion.choices[0]?.message.content, createExpectedText(question, 10));
		const stream = await client.chat.completions.create({
			model: 'assistant', messages, max_completion_tokens: 10, stream: true,
		});
		let text = '';

		for await (const chunk of stream) {
			text += chunk.choices[0]?.delta.content ?? '';
		}

		t.is(text, createExpectedText(question, 10));
		const models = await client.models.list();
		t.deepEqual(models.data.map(model => model.id), ['assistant']);
		await t.throwsAsync(client.chat.completions.create({model: 'absent', messages}), {instanceOf: OpenAI.NotFoundError});
	});
});

test.serial('an engine killed in the middle of an answer is replaced without losing or repeating a token', async t => {
	await withSystem({engines: 2, engineFlags: ['--decode-ms', '20']}, async system => {
		const stream = await startStream(system, question, {tokens: 300});
		const trace = await traceRequest(system, stream.requestId);
		const dispatched = trace.events.find(event => event.kind === RequestEventKind.Dispatched);
		t.is(trace.outcome, RequestOutcome.Running);
		system.engines.find(engine => dispatched?.kind === RequestEventKind.Dispatched && engine.id === dispatched.upstreamId)!.process.kill('SIGKILL');
		const {text, isWhole} = await stream.waitForEnd();
		t.true(isWhole);
		t.is(joinStreamedText(text), createExpectedText(question, 300));
		const requestHistory = await traceRequest(system, stream.requestId);
		t.is(requestHistory.outcome, RequestOutcome.Complete);
		t.is(requestHistory.events.filter(event => event.kind === RequestEventKind.Dispatched).length, 2);
	});
});

test.serial('an engine frozen in the middle of an answer is replaced, and its late tokens are discarded', async t => {
	await withSystem({engines: 2, engineFlags: ['--decode-ms', '20']}, async system => {
		const stream = await startStream(system, question, {tokens: 300});
		const trace = await traceRequest(system, stream.requestId);
		const dispatched = trace.events.find(event => event.kind === RequestEventKind.Dispatched);
		const frozen = system.engines.find(engine => dispatched?.kind === RequestEventKind.Dispatched && engine.id === dispatched.upstreamId)!;
		frozen.process.kill('SIGSTOP');
		const {text, isWhole} = await stream.waitForEnd();
		frozen.process.kill('SIGCONT');
		t.true(isWhole);
		t.is(joinStreamedText(text), createExpectedText(question, 300));
		const requestHistory = await traceRequest(system, stream.requestId);
		t.true(requestHistory.events.some(event => event.kind === RequestEventKind.AttemptEnded && event.end === AttemptOutcome.Silent));
	});
});

test.serial('after kill -9 of an entry the stream resumes at another entry, and the request is recorded as lost with its entry', async t => {
	await withSystem({entries: 2, engineFlags: ['--decode-ms', '20']}, async system => {
		const stream = await startStream(system, question, {tokens: 80});
		system.entries[0]!.process.kill('SIGKILL');
		const {text, isWhole} = await stream.waitForEnd();
		t.false(isWhole, 'a truncated stream is not taken for a complete one');
		const lastEventId = text.split('\n').findLast(line => line.startsWith('id: '))!.slice(4);
		// A truncated event lacks its terminating blank line; all events before it arrived completely.
		const first = joinStreamedText(text.slice(0, text.lastIndexOf('\n\n') + 2));
		const tokens = first.trim().split(' ').length;
		t.true(lastEventId.endsWith(`:${tokens}`));
		const resumed = await sendRequest(`http://${system.entries[1]!.address}/v1/chat/completions`, {
			method: 'POST', key: system.organisationKey, body: createPromptBody(question, 80), headers: {'last-event-id': lastEventId},
		});
		t.is(first + joinStreamedText(resumed.text), createExpectedText(question, 80));
		const otherOrganisation = await sendRequest(`http://${system.entries[1]!.address}/v1/chat/completions`, {
			method: 'POST', key: system.otherOrganisationKey, body: createPromptBody(question, 80), headers: {'last-event-id': lastEventId},
		});
		t.is(otherOrganisation.status, 410, 'another organisation cannot resume it');
		await waitUntil(async () => {
			const requestHistory = await traceRequest(system, stream.requestId);

			return requestHistory.outcome === RequestOutcome.EntryLost;
		});
	});
});

// A truncated event lacks its terminating blank line; all events before it arrived completely.
const sliceWholeEvents = (text: string) => text.slice(0, text.lastIndexOf('\n\n') + 2);

const readLastEventId = (text: string) => sliceWholeEvents(text).split('\n').findLast(line => line.startsWith('id: '))!.slice(4);

test.serial('an answer that was resumed can be resumed again, and is not given as whole to a caller that awaits it whole', async t => {
	await withSystem({entries: 2, engineFlags: ['--decode-ms', '20']}, async system => {
		const stream = await startStream(system, question, {tokens: 200});
		system.entries[0]!.process.kill('SIGKILL');
		const {text: firstText} = await stream.waitForEnd();
		const first = sliceWholeEvents(firstText);
		const resumed = await startStream(system, question, {tokens: 200, entry: 1, headers: {'last-event-id': readLastEventId(first)}});
		resumed.leave();
		const {text: secondText} = await resumed.waitForEnd();
		const second = sliceWholeEvents(secondText);
		const url = `http://${system.entries[1]!.address}/v1/chat/completions`;
		const headers = {'last-event-id': readLastEventId(second)};
		const buffered = await sendRequest(url, {
			method: 'POST', key: system.organisationKey, body: createPromptBody(question, 200, false), headers,
		});
		t.is(buffered.status, 400);
		const last = await sendRequest(url, {
			method: 'POST', key: system.organisationKey, body: createPromptBody(question, 200), headers,
		});
		t.is(last.status, 200);
		t.is([first, second, last.text].map(text => joinStreamedText(text)).join(''), createExpectedText(question, 200));
	});
});

test.serial('a caller that loses its connection goes on with its answer at the same entry, and at another one', async t => {
	await withSystem({entries: 2, engineFlags: ['--decode-ms', '20']}, async system => {
		const first = await startStream(system, question, {tokens: 900});
		first.leave();
		await first.waitForEnd();
		const firstText = sliceWholeEvents(first.readText());
		const second = await startStream(system, question, {tokens: 900, entry: 0, headers: {'last-event-id': readLastEventId(firstText)}});
		second.leave();
		await second.waitForEnd();
		const secondText = sliceWholeEvents(second.readText());
		// What is left of the answer takes longer than its run is kept for a caller that does not come back.
		const third = await startStream(system, question, {tokens: 900, entry: 1, headers: {'last-event-id': readLastEventId(secondText)}});
		const {text, isWhole} = await third.waitForEnd();
		t.true(isWhole);
		t.is(joinStreamedText(firstText) + joinStreamedText(secondText) + joinStreamedText(text), createExpectedText(question, 900));
	});
});

test.serial('the run of a caller that does not come back is cancelled', async t => {
	await withSystem({entries: 1, engineFlags: ['--decode-ms', '20']}, async system => {
		const left = await startStream(system, question, {tokens: 1500});
		const other = await startStream(system, `${question} other`, {tokens: 1500});
		left.leave();
		await left.waitForEnd();
		await waitUntil(async () => {
			const run = await request(`http://${system.engines[0]!.address}/v1/generate/${left.requestId}?from=1500`, {headers: {'x-organisation': 'okahandja'}});
			run.body.on('error', () => undefined).destroy();

			return run.statusCode === 404;
		});
		t.notRegex(other.readText(), /\[DONE\]/v, 'a run that was not left, of the same length, still goes on');
		other.leave();
		await other.waitForEnd();
	});
});

test.serial('an answer is resumed at its end if only its end was lost', async t => {
	await withSystem({}, async system => {
		const whole = await sendPrompt(system, question);
		const end = await sendRequest(`http://${system.entries[0]!.address}/v1/chat/completions`, {
			method: 'POST', key: system.organisationKey, body: createPromptBody(question, 20), headers: {'last-event-id': readLastEventId(whole.text)},
		});
		t.is(end.status, 200);
		t.is(joinStreamedText(end.text), '');
		t.regex(end.text, /"finish_reason":"length".*\n\ndata: \[DONE\]\n\n$/v);
	});
});

test.serial('an entry that has to stop before an answer is whole says so, and the answer is resumed at another entry', async t => {
	await withSystem({entries: 2, entryFlags: ['--stop-timeout-ms', '500'], engineFlags: ['--decode-ms', '20']}, async system => {
		const stream = await startStream(system, question, {tokens: 300});
		system.entries[0]!.process.kill('SIGTERM');
		const {text, isWhole} = await stream.waitForEnd();
		t.false(isWhole);
		t.regex(text, /event: error\n.*"code":"stopping","ran":"ran"/v);
		t.notRegex(text, /\[DONE\]/v);
		const first = text.slice(0, text.indexOf('event: error'));
		const resumed = await sendRequest(`http://${system.entries[1]!.address}/v1/chat/completions`, {
			method: 'POST', key: system.organisationKey, body: createPromptBody(question, 300), headers: {'last-event-id': readLastEventId(first)},
		});
		t.is(resumed.status, 200);
		t.is(joinStreamedText(first) + joinStreamedText(resumed.text), createExpectedText(question, 300));
		t.is(await system.entries[0]!.process.waitForExit(), 1, 'the request was cut');
		const requestHistory = await traceRequest(system, stream.requestId);
		t.is(requestHistory.summary, 'refused: stopping, status 503, ran');
		t.regex(system.entries[0]!.process.readOutput(), new RegExp(`answer broken off.*${stream.requestId}.*stopping.*engine-1`, 'v'));
	});
});

test.serial('stopping an entry under load with SIGTERM truncates no stream', async t => {
	await withSystem({entries: 2, engineFlags: ['--decode-ms', '20', '--slots', '32']}, async system => {
		const streams = await Promise.all(Array.from({length: 8}, async (_, index) => startStream(system, `${question} ${index}`, {tokens: 150})));
		system.entries[0]!.process.kill('SIGTERM');
		// A caller that still uses the address of the stopping entry gets a response.
		const late = await sendPrompt(system, 'late', {tokens: 5});
		t.is(joinStreamedText(late.text), createExpectedText('late', 5));
		await waitUntil(async () => {
			const list = await sendRequest(`http://${system.entries[1]!.address}/v1/entries`);

			return !list.text.includes('entry-1');
		});
		const ends = await Promise.all(streams.map(async stream => stream.waitForEnd()));
		t.true(ends.every(end => end.isWhole));
		t.deepEqual(ends.map(end => joinStreamedText(end.text)), streams.map((_, index) => createExpectedText(`${question} ${index}`, 150)));
		t.is(await system.entries[0]!.process.waitForExit(), 0);
	});
});

test.serial('a prompt that crashes engines is quarantined on all entries after the second crash, and a concurrent prompt is completed', async t => {
	await withSystem({entries: 2, engines: 3, engineFlags: ['--decode-ms', '20']}, async system => {
		const concurrentStream = await startStream(system, question, {tokens: 200});
		const before = await readConfigurationVersion(system, 1);
		const crash = await sendPrompt(system, 'CRASH-THE-ENGINE');
		t.is(crash.status, 422);
		t.true(crash.text.includes('quarantined'));
		t.is(system.engines.filter(engine => engine.process.isRunning()).length, 1, 'two engines crashed, and no third');
		const {text, isWhole} = await concurrentStream.waitForEnd();
		t.true(isWhole);
		t.is(joinStreamedText(text), createExpectedText(question, 200));
		await waitUntil(async () => await readConfigurationVersion(system, 1) > before);
		const again = await sendPrompt(system, 'CRASH-THE-ENGINE', {entry: 1});
		t.is(again.status, 422);
		t.true(again.text.includes('not_run'));
		t.is(system.engines.filter(engine => engine.process.isRunning()).length, 1);
	});
});

const pieceCharacters = 4000;

// Two complete pieces, the second of which is deadly or not, and an end of its own.
const createLongPrompt = (second: string, end: string) => `${'a'.repeat(pieceCharacters)}${second.repeat(pieceCharacters / second.length)}${end}`;

test.serial('a piece of prompts that crashes engines is held back on all entries though no two prompts are alike, and prompts with the piece before it are not', async t => {
	const engineCount = 9;
	await withSystem({entries: 2, engines: engineCount}, async system => {
		const countCrashed = () => system.engines.filter(engine => !engine.process.isRunning()).length;
		let prompts = 0;

		const sendDeadly = async (entry: number) => {
			prompts++;

			return sendPrompt(system, createLongPrompt('CRASH-THE-ENGINE', `${prompts}`), {entry});
		};

		// Callers return while an entry still tries engines that are gone; a sound prompt is never taken for the cause.
		const sendSound = async (entry: number) => {
			prompts++;
			await waitUntil(async () => {
				const {status, text} = await sendPrompt(system, createLongPrompt('question', `${prompts}`), {entry});
				t.false(text.includes('quarantined'));

				return status === 200;
			});
		};

		await sendSound(0);

		while (countCrashed() < 3) {
			await sendDeadly(prompts % 2);
			await sendSound(0);
		}

		for (const entry of [0, 1]) {
			await waitUntil(async () => {
				const {status, text, headers} = await sendDeadly(entry);

				return status === 422 && text.includes('not_run') && Number(headers['retry-after']) > 0;
			});
		}

		t.true(countCrashed() <= 6, `${countCrashed()} engines crashed`);
		await sendSound(1);
	});
});

/** Opens a TCP connection and sends raw bytes. `received` resolves with all data once the peer has closed the connection. */
function sendBytes(address: string, bytes: Uint8Array | string): {readonly socket: net.Socket; readonly received: Promise<string>} {
	const {hostname, port} = new URL(`http://${address}`);
	const socket = net.connect(Number(port), hostname);
	socket.write(bytes);
	let text = '';
	socket.on('data', data => {
		text += String(data);
	});
	// The peer may close the connection with a reset; `close` follows.
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

function createRequestHead(system: System, length: number): string {
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

test.serial('slow headers, a truncated body and invalid UTF-8 end cleanly, and the entry keeps serving', async t => {
	await withSystem({}, async system => {
		const {address} = system.entries[0]!;
		const slow = sendBytes(address, 'POST /v1/chat/completions HTTP/1.1\r\nhost: ent');
		const truncated = sendBytes(address, `${createRequestHead(system, 1000)}{"model": "assis`);
		setTimeout(() => truncated.socket.destroy(), 200);
		const invalidUtf8 = sendBytes(address, Buffer.concat([Buffer.from(createRequestHead(system, 4)), Buffer.from([0x7B, 0xFF, 0xFE, 0x7D])]));
		t.regex(await invalidUtf8.received, /^HTTP\/1\.1 400 .*bad_json/sv);
		t.is(await truncated.received, '');
		t.regex(await slow.received, /^(?:HTTP\/1\.1 408 .*)?$/sv);
		const valid = await sendPrompt(system, 'x', {tokens: 3});
		t.is(joinStreamedText(valid.text), createExpectedText('x', 3));
	});
});

test.serial('invalid requests get specific errors, and the entry keeps serving', async t => {
	await withSystem({}, async system => {
		const url = `http://${system.entries[0]!.address}`;
		const chat = `${url}/v1/chat/completions`;
		const key = system.organisationKey;
		const cases: ReadonlyArray<readonly [string, Promise<HttpResponse>, number, string]> = [
			['no key', sendRequest(chat, {method: 'POST', body: {}}), 401, 'unauthorized'],
			['wrong key', sendRequest(chat, {method: 'POST', key: 'x', body: {}}), 401, 'unauthorized'],
			['bad JSON', sendRequest(chat, {method: 'POST', key, body: '{'}), 400, 'bad_json'],
			['wrong types', sendRequest(chat, {method: 'POST', key, body: {model: 1, messages: 'x'}}), 400, 'bad_request'],
			['unknown model', sendRequest(chat, {method: 'POST', key, body: {...createPromptBody('x', 1), model: 'absent'}}), 404, 'unknown_model'],
			['too large', sendRequest(chat, {method: 'POST', key, body: 'x'.repeat(16_000_001)}), 413, 'too_large'],
			['unknown path', sendRequest(`${url}/v2/x`, {key}), 404, 'not_found'],
			['unknown service', sendRequest(`${url}/v1/services/absent/x`, {key}), 404, 'unknown_service'],
			['no idempotency key', sendRequest(`${url}/v1/services/work-orders/x`, {method: 'POST', key, body: {}}), 400, 'idempotency_key_required'],
			['wrong method', sendRequest(chat, {key}), 405, 'method_not_allowed'],
			['bad event id', sendRequest(chat, {
				method: 'POST', key, body: createPromptBody('x', 1), headers: {'last-event-id': '\'; drop'},
			}), 400, 'bad_request'],
			['too short a deadline', sendRequest(chat, {
				method: 'POST', key, body: createPromptBody('x'.repeat(400_000), 1), headers: {'x-timeout-ms': '1000'},
			}), 503, 'deadline_too_short'],
		];

		for (const [description, pending, status, code] of cases) {
			const response = await pending;
			const {error} = JSON.parse(response.text) as {error: {code: string; request_id: string; ran: string}};
			t.deepEqual(
				{
					description, status: response.status, code: error.code, ran: error.ran,
				},
				{
					description, status, code, ran: 'not_run',
				},
			);
			t.regex(error.request_id, /^r-/v);
		}

		const badJson = await sendRequest(chat, {method: 'POST', key, body: '{'});
		await waitUntil(async () => {
			const lookup = await sendRequest(`${url}/v1/requests/${badJson.requestId}`, {key});

			return lookup.status === 200;
		});
		const requestHistory = await traceRequest(system, badJson.requestId);
		t.is(requestHistory.summary, 'refused: bad_json, status 400, not_run');
		const revoked = await sendRequest(`${url}/v1/services/work-orders/x`, {
			method: 'POST', key: 'revoked', body: {}, idempotencyKey: 'earlier',
		});
		t.regex(revoked.text, /"ran":"unknown"/v, 'an earlier call with this key may have been executed');
		const valid = await sendPrompt(system, 'x', {tokens: 3});
		t.is(joinStreamedText(valid.text), createExpectedText('x', 3));
		const otherOrganisation = await sendRequest(`${url}/v1/requests/${valid.requestId}`, {key: system.otherOrganisationKey});
		t.is(otherOrganisation.status, 404, 'a request of another organisation is reported as not found');
	});
});
