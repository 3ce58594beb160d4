import {type IncomingMessage} from 'node:http';
import {readBody} from '@fescuestair/transport';

const bodyLimits = {maxBytes: 64_000_000, timeoutMs: 30_000};

/** Reads a JSON body; a stand-in believes what it is sent. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
	return JSON.parse(new TextDecoder().decode(await readBody(request, bodyLimits))) as unknown;
}
