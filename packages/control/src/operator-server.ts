import http from 'node:http';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import {
	admitRequests, openHttpListener, sendJson, type Address, type KeyRing,
} from '@fescuestair/transport';
import {createOperatorRouter, type OperatorBackend} from './operator-router.js';

export type OperatorServerOptions = {
	readonly listen: Address;
	readonly getKeys: () => KeyRing;
	readonly backend: OperatorBackend;
	readonly isReady: () => boolean;
};

/** Creates the HTTP server for operators: health checks, and the tRPC procedures for requests with an operator key. */
export async function createOperatorServer(options: OperatorServerOptions) {
	const {listen, getKeys, backend, isReady} = options;
	const handleProcedure = createHTTPHandler({
		router: createOperatorRouter(backend),
		createContext: ({req}) => ({actor: getKeys().findOwner(req.headers.authorization) ?? ''}),
	});
	const server = http.createServer(admitRequests((request, response) => {
		if (request.url === '/healthz') {
			sendJson(response, 200, {status: 'alive'});
		} else if (request.url === '/readyz') {
			sendJson(response, isReady() ? 200 : 503, {ready: isReady()});
		} else if (getKeys().findOwner(request.headers.authorization) === undefined) {
			sendJson(response, 401, {error: {code: 'unauthorized', message: 'an operator key is needed'}});
		} else {
			handleProcedure(request, response);
		}
	}));

	return openHttpListener(server, listen);
}
