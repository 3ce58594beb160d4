import {type IncomingMessage, type Server, type ServerResponse} from 'node:http';

/** Node keeps a connection for so much longer than it announces. */
const announcementMarginMs = 1000;

/**
Keeps each connection without a request for as long as the last answer on it has announced, also where `keepAliveTimeout` is lowered before that answer ends. Returns a function
that undoes it.

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

	server.on('request', keepAsAnnounced);

	return () => {
		server.off('request', keepAsAnnounced);
	};
}
