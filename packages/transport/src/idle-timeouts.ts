import {type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {waitForReads} from './wait-for-reads.js';

/** Node keeps a connection for so much longer than it announces. */
const announcementMarginMs = 1000;

/**
Keeps each connection without a request for as long as the last answer on it has announced, also where `keepAliveTimeout` is lowered before that answer ends, and closes none on which
bytes have arrived that are not read yet. Node's own handling resets the request there. Returns a function that undoes it.

@example
```
registerIdleTimeouts(server);
server.keepAliveTimeout = 15_000;
```
*/
export function registerIdleTimeouts(server: Server): () => void {
	const keepAsAnnounced = ({socket}: IncomingMessage, response: ServerResponse) => {
		const announcedMs = server.keepAliveTimeout;

		response.once('finish', () => {
			// Node's own listener has set the timeout that is in force now, unless the connection closes or has a further request.
			if (announcedMs > 0 && socket.timeout !== undefined && socket.timeout > 0 && socket.timeout < announcedMs + announcementMarginMs) {
				socket.setTimeout(announcedMs + announcementMarginMs);
			}
		});
	};

	const closeUnlessRead = (socket: Socket) => {
		void (async () => {
			const {bytesRead} = socket;
			await waitForReads();

			if (socket.bytesRead === bytesRead) {
				socket.destroy();
			}
		})();
	};

	server.on('request', keepAsAnnounced);
	server.on('timeout', closeUnlessRead);

	return () => {
		server.off('request', keepAsAnnounced);
		server.off('timeout', closeUnlessRead);
	};
}
