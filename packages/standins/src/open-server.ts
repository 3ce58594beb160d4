import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {openHttpListener, type Address} from '@fescuestair/transport';

/** Opens an HTTP server. If the handler fails, the connection is destroyed, as if the process had crashed. */
export async function openServer(address: Address, handleRequest: (request: IncomingMessage, response: ServerResponse) => Promise<void>) {
	const server = http.createServer(async (request, response) => {
		try {
			await handleRequest(request, response);
		} catch (error) {
			response.destroy(error as Error);
		}
	});

	return openHttpListener(server, address);
}
