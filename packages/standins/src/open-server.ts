import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {openHttpListener, type Address} from '@fescuestair/transport';

/** Opens a stand-in's HTTP listener; a request that fails loses its connection, as with a program that broke. */
export async function openServer(address: Address, handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>) {
	const server = http.createServer(async (request, response) => {
		try {
			await handle(request, response);
		} catch (error) {
			response.destroy(error as Error);
		}
	});

	return openHttpListener(server, address);
}
