import {type Agent} from 'undici';
import {type z} from 'zod';
import {BaseError} from '@fescuestair/core';
import {readAllBytes} from '@fescuestair/transport';

/** Manifests of the longest prompts have less. */
const maxBodyBytes = 16_000_000;

/** A call about pieces to an engine or a store failed. */
export class KvError extends BaseError {
	constructor(address: string, reason: string) {
		super('kv', `${address}: ${reason}`);
	}
}

export type KvCall = {
	readonly agent: Agent;
	/** `ip:port`. */
	readonly address: string;
	readonly timeoutMs: number;
	readonly signal?: AbortSignal;
};

export type KvRequest<Answer> = {
	readonly path: string;
	/** Sent as JSON with POST; without a body the request is a GET. */
	readonly body?: unknown;
	readonly schema: z.ZodType<Answer>;
};

/**
Sends a request about pieces to an engine or a store. Throws a `KvError` if it fails or the response does not match the schema.

@example
```
const {pieces} = await callKv({agent, address, timeoutMs: 500}, {path: '/v1/kv/lookup', body: {hashes}, schema: manifestsResponseSchema});
```
*/
export async function callKv<Answer>(call: KvCall, {path, body, schema}: KvRequest<Answer>): Promise<Answer> {
	const {agent, address, signal} = call;
	const timeoutMs = Math.ceil(call.timeoutMs);

	try {
		const response = await agent.request({
			origin: `http://${address}`,
			path,
			method: body === undefined ? 'GET' : 'POST',
			headers: {'content-type': 'application/json'},
			body: body === undefined ? undefined : JSON.stringify(body),
			headersTimeout: timeoutMs,
			bodyTimeout: timeoutMs,
			signal: AbortSignal.any([AbortSignal.timeout(timeoutMs), ...(signal === undefined ? [] : [signal])]),
		});
		const bytes = await readAllBytes(response.body, {maxBytes: maxBodyBytes});

		if (bytes === undefined) {
			throw new KvError(address, `${path}: the answer is too large`);
		}

		const value: unknown = JSON.parse(bytes.toString('utf8'));

		if (response.statusCode !== 200) {
			throw new KvError(address, `${path}: status ${response.statusCode}`);
		}

		return schema.parse(value);
	} catch (error) {
		throw error instanceof KvError ? error : new KvError(address, `${path}: ${(error as Error).message}`);
	}
}
