import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {createId} from '@fescuestair/core';
import {
	announceSchema, requireParsed, parseJsonBody, ExecutionStatus, RefusalCode, RefusalError, type Refusal,
} from '@fescuestair/protocol';
import {
	admitRequests, openHttpListener, readBody, sendJson, sendRefusal, type Address, type KeyRing,
} from '@fescuestair/transport';
import {type Logger} from '@fescuestair/runtime';
import {type UpstreamRegistry} from './upstream-registry.js';

export type UpstreamListenerOptions = {
	readonly listen: Address;
	readonly getJoinKeys: () => KeyRing;
	readonly registry: UpstreamRegistry;
	readonly log: Logger;
};

const bodyLimits = {maxBytes: 65_536, timeoutMs: 5000};

/** Creates the HTTP listener on which upstreams announce themselves, renew their leases and withdraw. */
export async function createUpstreamListener(options: UpstreamListenerOptions) {
	const {listen, getJoinKeys, registry, log} = options;

	const handle = async (request: IncomingMessage, response: ServerResponse) => {
		if (getJoinKeys().findOwner(request.headers.authorization) === undefined) {
			throw createRefusalError(RefusalCode.Unauthorized, 'a join key is needed');
		}

		const withdrawnId = /^\/v1\/upstreams\/(?<id>[\w.\-]{1,63})$/v.exec(request.url ?? '')?.groups?.id;

		if (request.method === 'POST' && request.url === '/v1/upstreams') {
			const message = requireParsed(announceSchema.safeParse(parseJsonBody(await readBody(request, bodyLimits, {response}))));
			sendJson(response, 200, registry.announce(message));
		} else if (request.method === 'DELETE' && withdrawnId !== undefined) {
			sendJson(response, registry.withdraw(withdrawnId) ? 200 : 404, {id: withdrawnId});
		} else {
			throw createRefusalError(RefusalCode.NotFound, 'there is POST /v1/upstreams and DELETE /v1/upstreams/{id}');
		}
	};

	const answer = async (request: IncomingMessage, response: ServerResponse) => {
		try {
			await handle(request, response);
		} catch (error) {
			if (!(error instanceof RefusalError)) {
				log.error('request of an upstream failed', error);
			}

			const refusal = error instanceof RefusalError ? error.refusal : createRefusalError(RefusalCode.Internal, 'internal error').refusal;
			sendRefusal(response, refusal, createId('r', Date.now()));
		}
	};

	const server = http.createServer(admitRequests((request, response) => {
		void answer(request, response);
	}));

	return openHttpListener(server, listen);
}

function createRefusalError(code: RefusalCode, message: string): RefusalError {
	const refusal: Refusal = {code, message, ran: ExecutionStatus.NotRun};

	return new RefusalError(refusal);
}

