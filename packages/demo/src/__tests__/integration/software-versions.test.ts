import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import {RequestEventKind} from '@fescuestair/protocol';
import {type System, type UpstreamProcess} from '../../index.js';
import {
	createExpectedText, createPromptBody, joinStreamedText, sendRequest, traceRequest, waitUntil, withSystem, type HttpResponse,
} from './test-helpers.js';

const question = 'Which oil does a rickshaw take?';
const tokens = 900;
/** Tokens that a caller has before something happens. */
const begunTokens = 5;
const decodeFlags = ['--decode-ms', '20'];
const createEngineFlags = (softwareVersion: string, flags: readonly string[] = []) => [...decodeFlags, '--software-version', softwareVersion, ...flags];

type Stream = {
	/** What was asked. */
	readonly content: string;
	/** Index of the engine that began it. */
	readonly engine: number;
	/** Resolves with all that was sent. */
	readonly waitForEnd: () => Promise<string>;
	readonly leave: () => void;
};

/** Starts a streamed answer, and resolves once it has begun. */
let asked = 0;

async function startStream(system: System): Promise<Stream> {
	asked++;
	const content = `${question} ${asked}`;
	const response = await request(`http://${system.entries[0]!.address}/v1/chat/completions`, {
		method: 'POST', headers: {authorization: `Bearer ${system.organisationKey}`, 'content-type': 'application/json'}, body: JSON.stringify(createPromptBody(content, tokens)),
	});

	if (response.statusCode !== 200) {
		throw new Error(`status ${response.statusCode}: ${await response.body.text()}`);
	}

	const requestId = String(response.headers['x-request-id']);
	let text = '';
	const ended = (async () => {
		try {
			for await (const chunk of response.body) {
				text += String(chunk);
			}
		} catch {
			// The test left, or the entry is gone.
		}
	})();
	await waitUntil(async () => joinStreamedText(text).split(' ').length > begunTokens);
	const {events} = await traceRequest(system, requestId);
	const dispatched = events.find(event => event.kind === RequestEventKind.Dispatched);

	return {
		content,
		engine: system.engines.findIndex(({id}) => dispatched?.kind === RequestEventKind.Dispatched && id === dispatched.upstreamId),
		async waitForEnd() {
			await ended;

			return text;
		},
		leave() {
			response.body.destroy();
		},
	};
}

/** Starts streams, which are spread over the engines, until an engine begins one. */
async function startStreamAt(system: System, engine: number): Promise<Stream> {
	const others: Stream[] = [];

	try {
		for (;;) {
			const stream = await startStream(system);

			if (stream.engine === engine) {
				return stream;
			}

			others.push(stream);
		}
	} finally {
		for (const other of others) {
			other.leave();
		}
	}
}

const isAnswering = async ({address}: UpstreamProcess) => {
	try {
		const {statusCode, body} = await request(`http://${address}/v1/stats`);
		await body.dump();

		return statusCode === 200;
	} catch {
		return false;
	}
};

/** Kills an engine and starts it again with other software, under its id and at its address; resolves once it serves. */
async function replaceEngine(system: System, index: number, flags: readonly string[]): Promise<void> {
	const {process} = system.engines[index]!;
	process.kill('SIGKILL');
	await process.waitForExit();
	const started = await system.startEngine(index, flags);
	await waitUntil(async () => isAnswering(started));
}

// A truncated event lacks its terminating blank line; all events before it arrived completely.
const sliceWholeEvents = (text: string) => text.slice(0, text.lastIndexOf('\n\n') + 2);

async function resumeStream(system: System, {entry, content, text}: {readonly entry: number; readonly content: string; readonly text: string}): Promise<HttpResponse> {
	const lastEventId = text.split('\n').findLast(line => line.startsWith('id: '))!.slice(4);

	return sendRequest(`http://${system.entries[entry]!.address}/v1/chat/completions`, {
		method: 'POST', key: system.organisationKey, body: createPromptBody(content, tokens), headers: {'last-event-id': lastEventId},
	});
}

/** Fails unless the text is the beginning of what one version of the software writes. */
function checkWriter(t: ExecutionContext, {content, text}: {readonly content: string; readonly text: string}, softwareVersion: string): void {
	const joined = joinStreamedText(text);
	t.true(joined.length > 0);
	t.is(joined, createExpectedText(content, tokens, softwareVersion).slice(0, joined.length));
}

test.serial('an answer whose engine is lost does not go on at an engine of another software version, and cannot be resumed there at another entry', async t => {
	await withSystem({entries: 2, engineFlags: createEngineFlags('1')}, async system => {
		await system.startEngine(1, createEngineFlags('2'));
		await system.waitUntilReady();

		const stream = await startStreamAt(system, 0);
		await replaceEngine(system, 0, createEngineFlags('2'));
		const text = await stream.waitForEnd();
		checkWriter(t, {...stream, text}, '1');
		t.notRegex(text, /\[DONE\]/v);
		t.regex(text, /event: error\n.*no engine of the software version that began the answer/v);
		const begun = sliceWholeEvents(text.slice(0, text.indexOf('event: error')));

		for (const entry of [0, 1]) {
			const resumed = await resumeStream(system, {entry, content: stream.content, text: begun});
			t.is(resumed.status, 410);
			t.is(joinStreamedText(resumed.text), '');
		}
	});
});

test.serial('an answer whose engine is lost goes on at an engine of the same software version, among others', async t => {
	await withSystem({entries: 2, engines: 2, engineFlags: createEngineFlags('1')}, async system => {
		await system.startEngine(2, createEngineFlags('2'));
		await system.startEngine(3, createEngineFlags('2'));
		await system.waitUntilReady();
		const stream = await startStreamAt(system, 0);
		await replaceEngine(system, stream.engine, createEngineFlags('2'));
		const text = await stream.waitForEnd();
		t.regex(text, /\[DONE\]/v);
		t.is(joinStreamedText(text), createExpectedText(stream.content, tokens, '1'));
	});
});

test.serial('an answer does not go on at an engine that is back with other software, also before it has announced itself', async t => {
	await withSystem({entries: 2, engines: 2, engineFlags: createEngineFlags('1')}, async system => {
		const stream = await startStreamAt(system, 0);
		await replaceEngine(system, 1, createEngineFlags('2', ['--announce-after-ms', '60000']));
		system.engines[stream.engine]!.process.kill('SIGKILL');
		const text = await stream.waitForEnd();
		checkWriter(t, {...stream, text}, '1');
		t.notRegex(text, /\[DONE\]/v);
	});
});

test.serial('an answer that an engine began before it announced its other software goes on only at an engine of that software', async t => {
	await withSystem({entries: 2, engines: 2, engineFlags: createEngineFlags('1')}, async system => {
		await replaceEngine(system, 0, createEngineFlags('2', ['--announce-after-ms', '60000']));
		const stream = await startStreamAt(system, 0);
		system.engines[0]!.process.kill('SIGKILL');
		const text = await stream.waitForEnd();
		checkWriter(t, {...stream, text}, '2');
		t.notRegex(text, /\[DONE\]/v);
	});
});
