import fs from 'node:fs/promises';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {createResponseText} from '@fescuestair/standins';
import {type RequestHistory} from '@fescuestair/protocol';
import {startSystem, type System, type SystemOptions} from '../../index.js';

/** Response to a request that a test sends as a caller. */
export type HttpResponse = {readonly status: number; readonly text: string; readonly requestId: string; readonly headers: Readonly<Record<string, unknown>>};

type RequestOptions = {
	readonly method?: string;
	readonly key?: string;
	readonly idempotencyKey?: string;
	readonly body?: unknown;
	readonly headers?: Readonly<Record<string, string>>;
};

export async function sendRequest(url: string, {method = 'GET', key, idempotencyKey, body, headers = {}}: RequestOptions = {}): Promise<HttpResponse> {
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

export async function bookWorkOrder(system: System, {entry = 0, idempotencyKey, query = '', body = {work: 'axle'}}: {entry?: number; idempotencyKey: string; query?: string; body?: unknown}) {
	return sendRequest(`http://${system.entries[entry]!.address}/v1/services/work-orders/orders${query}`, {
		method: 'POST', key: system.organisationKey, idempotencyKey, body,
	});
}

/** Counts how often the service executed the booking with this key. */
export async function countExecutions(system: System, idempotencyKey: string): Promise<number> {
	const journal = await fs.readFile(system.journal, 'utf8');

	return journal.split('\n').filter(line => line === idempotencyKey).length;
}

export function createPromptBody(content: string, tokens: number, isStreaming = true) {
	return {
		model: 'assistant', stream: isStreaming, max_completion_tokens: tokens, messages: [{role: 'user', content}],
	};
}

/** Creates the text that a simulated engine generates for a prompt with one user message. */
export function createExpectedText(content: string, tokens: number, softwareVersion?: string): string {
	return createResponseText(`user\n${content}\n`, tokens, softwareVersion);
}

export async function sendPrompt(system: System, content: string, {entry = 0, tokens = 20, isStreaming = true}: {entry?: number; tokens?: number; isStreaming?: boolean} = {}) {
	return sendRequest(`http://${system.entries[entry]!.address}/v1/chat/completions`, {
		method: 'POST', key: system.organisationKey, body: createPromptBody(content, tokens, isStreaming),
	});
}

type Chunk = {readonly choices: ReadonlyArray<{readonly delta: {readonly content?: string}}>};

/** Joins the text chunks of a streamed response. */
export function joinStreamedText(text: string): string {
	return text.split('\n')
		.filter(line => line.startsWith('data: {"id"'))
		.map(line => (JSON.parse(line.slice(6)) as Chunk).choices[0]?.delta.content ?? '')
		.join('');
}

export async function traceRequest(system: System, requestId: string): Promise<RequestHistory> {
	const {output} = await system.runCli(['trace', requestId, '--json']);

	return JSON.parse(output) as RequestHistory;
}

/** Polls until the check passes. Has no time-out of its own: that of the test applies. */
export async function waitUntil(check: () => Promise<boolean>): Promise<void> {
	while (!await check()) {
		await sleep(50);
	}
}

/** Reads the version of the replicated public state (the part that every daemon holds) at an entry. */
export async function readConfigurationVersion(system: System, entry: number): Promise<number> {
	const ready = await sendRequest(`http://${system.entries[entry]!.address}/readyz`);

	return (JSON.parse(ready.text) as {readonly configuration: number}).configuration;
}

/** Runs a test with a separate system, and stops the processes of that system afterwards. */
export async function withSystem(options: SystemOptions, run: (system: System) => Promise<void>): Promise<void> {
	const system = await startSystem(options);

	try {
		await run(system);
	} finally {
		await system.stop();
	}
}
