import fs from 'node:fs/promises';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {createResponseText} from '@fescuestair/standins';
import {type Fate} from '@fescuestair/protocol';
import {startSystem, type System, type SystemOptions} from '../../index.js';

/** Calls that the tests of failures make as a caller would. */
export type Answer = {readonly status: number; readonly text: string; readonly requestId: string; readonly headers: Readonly<Record<string, unknown>>};

type CallOptions = {
	readonly method?: string;
	readonly key?: string;
	readonly idempotencyKey?: string;
	readonly body?: unknown;
	readonly headers?: Readonly<Record<string, string>>;
};

export async function call(url: string, {method = 'GET', key, idempotencyKey, body, headers = {}}: CallOptions = {}): Promise<Answer> {
	const response = await request(url, {
		method,
		headers: {
			'content-type': 'application/json',
			...(key !== undefined && {authorization: `Bearer ${key}`}),
			...(idempotencyKey !== undefined && {'idempotency-key': idempotencyKey}),
			...headers,
		},
		body: typeof body === 'string' || body === undefined ? body : JSON.stringify(body),
	});

	return {
		status: response.statusCode, text: await response.body.text(), requestId: String(response.headers['x-request-id']), headers: response.headers,
	};
}

export async function book(system: System, {entry = 0, idempotencyKey, query = '', body = {work: 'axle'}}: {entry?: number; idempotencyKey: string; query?: string; body?: unknown}) {
	return call(`http://${system.entries[entry]!.address}/v1/services/work-orders/orders${query}`, {
		method: 'POST', key: system.organisationKey, idempotencyKey, body,
	});
}

export async function countRuns(system: System, idempotencyKey: string): Promise<number> {
	const journal = await fs.readFile(system.journal, 'utf8');

	return journal.split('\n').filter(line => line === idempotencyKey).length;
}

export function createPromptBody(content: string, tokens: number, isStream = true) {
	return {
		model: 'assistant', stream: isStream, max_completion_tokens: tokens, messages: [{role: 'user', content}],
	};
}

/** The answer that the stand-in engine gives to a prompt with one user message. */
export function expectAnswer(content: string, tokens: number): string {
	return createResponseText(`user\n${content}\n`, tokens);
}

export async function ask(system: System, content: string, {entry = 0, tokens = 20, isStream = true}: {entry?: number; tokens?: number; isStream?: boolean} = {}) {
	return call(`http://${system.entries[entry]!.address}/v1/chat/completions`, {
		method: 'POST', key: system.organisationKey, body: createPromptBody(content, tokens, isStream),
	});
}

type Chunk = {readonly choices: ReadonlyArray<{readonly delta: {readonly content?: string}}>};

/** Joins the text of a streamed answer. */
export function joinStream(text: string): string {
	return text.split('\n')
		.filter(line => line.startsWith('data: {"id"'))
		.map(line => (JSON.parse(line.slice(6)) as Chunk).choices[0]?.delta.content ?? '')
		.join('');
}

export async function traceRequest(system: System, requestId: string): Promise<Fate> {
	const {output} = await system.runCli(['trace', requestId, '--json']);

	return JSON.parse(output) as Fate;
}

/** Repeats until the check passes; the test's own timeout ends it otherwise. */
export async function waitFor(check: () => Promise<boolean>): Promise<void> {
	while (!await check()) {
		await sleep(50);
	}
}

/** Version of the public state that an entry holds. */
export async function readVersion(system: System, entry: number): Promise<number> {
	const ready = await call(`http://${system.entries[entry]!.address}/readyz`);

	return (JSON.parse(ready.text) as {readonly configuration: number}).configuration;
}

/** Runs a test with a system of its own, and stops all its processes. */
export async function withSystem(options: SystemOptions, run: (system: System) => Promise<void>): Promise<void> {
	const system = await startSystem(options);

	try {
		await run(system);
	} finally {
		await system.stop();
	}
}
