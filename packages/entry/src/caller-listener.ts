import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {createId} from '@fescuestair/core';
import {listServing, RecordKind} from '@fescuestair/membership';
import {RefusalCode, RefusalError} from '@fescuestair/protocol';
import {listItems, ItemKind, type PublicState} from '@fescuestair/state';
import {
	createKeyRing, admitRequests, openHttpListener, registerClientErrors, registerIdleTimeouts, sendJson, sendRefusal, type Address, type KeyRing,
} from '@fescuestair/transport';
import {handleCompletion} from './completions.js';
import {handleService} from './services.js';
import {handleRequestLookup} from './request-lookup.js';
import {qualifyRefusal, servicePathPattern} from './qualify-refusal.js';
import {refuseEarly} from './refuse-early.js';
import {createRefusal, type CallerRequest, type EntryServices} from './request-context.js';

export type CallerListenerOptions = {
	readonly listen: Address;
	readonly services: EntryServices;
	readonly listEntries: (caller: string, availabilityZone: string | undefined) => unknown;
	readonly isReady: () => boolean;
	/** Whether new requests are refused because the process is stopping. */
	readonly isClosing: () => boolean;
};

export type CallerListener = {
	readonly countRunning: () => number;
	readonly close: () => Promise<void>;
};

const headersTimeoutMs = 10_000;
const maxHeaderBytes = 16_384;

/** Creates the HTTP listener for callers. */
export async function createCallerListener(options: CallerListenerOptions): Promise<CallerListener> {
	const {listen, services, isReady, isClosing} = options;
	const getKeyRing = createKeyRingCache();
	let runningCount = 0;

	const route = async (caller: CallerRequest) => {
		const {request, response} = caller;

		if (isClosing()) {
			throw createRefusal(RefusalCode.Stopping, 'this entry is stopping; use another', 1);
		}

		const {pathname} = new URL(request.url ?? '/', 'http://entry');
		const serviceMatch = servicePathPattern.exec(pathname);
		const requestPathMatch = /^\/v1\/requests\/(?<id>[\w\-]{1,80})$/v.exec(pathname);

		if (pathname === '/v1/chat/completions' || pathname === '/v1/completions') {
			requireMethod(request, 'POST');
			await handleCompletion(services, caller, pathname === '/v1/chat/completions');
		} else if (serviceMatch?.groups?.name !== undefined) {
			const {search} = new URL(request.url ?? '/', 'http://entry');
			await handleService(services, caller, {serviceName: serviceMatch.groups.name, path: (serviceMatch.groups.path ?? '/') + search});
		} else if (requestPathMatch?.groups?.id !== undefined) {
			requireMethod(request, 'GET');
			await handleRequestLookup(services, caller, requestPathMatch.groups.id);
		} else if (pathname === '/v1/models') {
			requireMethod(request, 'GET');
			sendJson(response, 200, listModels(services.follower.getState()));
		} else {
			throw createRefusal(RefusalCode.NotFound, `there is nothing at ${pathname}`);
		}
	};

	const handle = async (request: IncomingMessage, response: ServerResponse, requestId: string) => {
		const {pathname, searchParams} = new URL(request.url ?? '/', 'http://entry');

		if (pathname === '/healthz') {
			sendJson(response, 200, {status: 'alive'});

			return;
		}

		if (pathname === '/readyz') {
			sendJson(response, isReady() ? 200 : 503, describeReadiness(services, isReady()));

			return;
		}

		if (pathname === '/v1/entries') {
			sendJson(response, 200, options.listEntries(request.socket.remoteAddress ?? '', searchParams.get('zone') ?? undefined), {'cache-control': 'private'});

			return;
		}

		const organisation = getKeyRing(services.follower.getState()).findOwner(request.headers.authorization);

		if (organisation === undefined) {
			throw createRefusal(RefusalCode.Unauthorized, 'an organisation\'s key is needed');
		}

		const caller = {
			request, response, requestId, organisation, startedMs: services.clock.readMonotonicMs(),
		};

		try {
			await route(caller);
		} catch (error) {
			refuseEarly(services, caller, error);
		}
	};

	const server = http.createServer({
		maxHeaderSize: maxHeaderBytes, headersTimeout: headersTimeoutMs, requestTimeout: 0, connectionsCheckingInterval: 2000,
	});
	const handleRequest = async (request: IncomingMessage, response: ServerResponse) => {
		// Its head was refused as late, or the answer before it closes the connection.
		if (!request.socket.writable) {
			services.log.info('a request is not handled, since its connection was ended before', {target: request.url});

			return;
		}

		const requestId = createId('r', services.clock.readWallMs());
		runningCount++;
		response.once('close', () => {
			runningCount--;
		});

		try {
			await handle(request, response, requestId);
		} catch (error) {
			const refusal = error instanceof RefusalError ? error.refusal : createRefusal(RefusalCode.Internal, 'internal error').refusal;

			if (!(error instanceof RefusalError)) {
				services.log.error('request failed', {requestId}, error);
			}

			sendRefusal(response, qualifyRefusal(services, request, refusal), requestId);
		}
	};

	server.on('request', admitRequests((request, response) => {
		void handleRequest(request, response);
	}));
	registerIdleTimeouts(server);
	registerClientErrors(server, {
		onError(reason, running) {
			services.log.info('invalid or incomplete HTTP request', {reason, running});
		},
		rejectBody(response, status) {
			response.writeHead(status, {'content-length': '0', connection: 'close'}).end();
		},
	});
	const httpListener = await openHttpListener(server, listen);

	return {countRunning: () => runningCount, close: httpListener.close};
}

function describeReadiness({gossip, follower}: EntryServices, isReady: boolean) {
	return {
		ready: isReady,
		configuration: follower.getState().version,
		upstreams: listServing(gossip.getMembership(), RecordKind.Upstream).length,
	};
}

function requireMethod(request: IncomingMessage, method: string): void {
	if (request.method !== method) {
		throw createRefusal(RefusalCode.MethodNotAllowed, `only ${method} is served here`);
	}
}

// Rebuilds the key ring only if the version of the state has changed.
function createKeyRingCache(): (state: PublicState) => KeyRing {
	let version = -1;
	let keyRing = createKeyRing([]);

	return state => {
		if (state.version !== version) {
			version = state.version;
			keyRing = createKeyRing(listItems(state, ItemKind.Organisation).flatMap(item => item.keyDigests.map(digest => ({owner: item.name, digest}))));
		}

		return keyRing;
	};
}

function listModels(state: PublicState) {
	return {object: 'list', data: listItems(state, ItemKind.Model).map(item => ({id: item.name, object: 'model'}))};
}
