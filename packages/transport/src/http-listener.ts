import {type Server} from 'node:http';
import {once} from 'node:events';
import {type Address} from './address.js';
import {processCallerBudget} from './caller-budget.js';
import {waitForReads} from './wait-for-reads.js';

/** A listening HTTP server. */
export type HttpListener = {
	/** The actual port, also if the server was asked to listen on port 0. */
	readonly port: number;
	/** Closes all connections, in use or not. Requests that have arrived are passed to the handler before; an answer that it sends at once reaches its caller. */
	readonly close: () => Promise<void>;
};

/**
Starts an HTTP server listening on an address. Its connections count in the budget of this process.

@example
```
const listener = await openHttpListener(http.createServer(handle), {host: '127.0.0.1', port: 0});
```
*/
export async function openHttpListener(server: Server, {host, port}: Address): Promise<HttpListener> {
	server.on('connection', processCallerBudget.connections.add);
	server.listen(port, host);
	await once(server, 'listening');
	const address = server.address();

	return {
		port: typeof address === 'object' && address !== null ? address.port : port,
		async close() {
			await waitForReads();
			const closed = once(server, 'close');
			server.close();
			server.closeAllConnections();
			await closed;
		},
	};
}
