import {type IncomingMessage} from 'node:http';
import {readBody} from '@fescuestair/transport';

const bodyLimits = {maxBytes: 64_000_000, timeoutMs: 30_000};

/** Reads a JSON body without validating its shape: simulated upstreams trust their callers. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
	return JSON.parse(new TextDecoder().decode(await readBody(request, bodyLimits))) as unknown;
}
