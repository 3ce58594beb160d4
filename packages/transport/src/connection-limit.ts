import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';

/** The request on a connection that was begun last, with its response. */
export type LatestExchange = {
	readonly request: Pick<IncomingMessage, 'complete'>;
	readonly response: Pick<ServerResponse, 'writableEnded'>;
};

/** Bounds the connections that others have opened to this process. */
export type ConnectionLimit = {
	/** Counts a connection until it closes. Where there are too many then, one of them is closed. */
	readonly add: (socket: Socket) => void;
	/** Tells that a request is being served on a connection; links, which serve no requests, name none. */
	readonly markBusy: (socket: Socket, exchange?: LatestExchange) => void;
	/** Tells that a connection waits for its next request. */
	readonly markIdle: (socket: Socket) => void;
	readonly count: () => number;
};

export type ConnectionLimitOptions = {
	readonly getMaxConnections: () => number;
	/** Called for each connection that is closed for want of room. */
	readonly onClose: () => void;
};

/** What is known of the connections when one has to be closed, each in the order in which it got there. */
export type OpenConnections<Connection> = {
	readonly idle: Iterable<Connection>;
	readonly busy: Iterable<readonly [Connection, LatestExchange | undefined]>;
	readonly newest: Connection;
};

/**
Picks the connection that is closed where there are too many: the one that has waited for a request, or for the end of its head, for the longest time; else the first whose request is
not whole, or whose answer is not taken; else the newest. Those whose request is being served are left alone.

Load pattern: a crowd that opens connections and stops half-way, while others open connections to use them at once.
*/
export function pickConnectionToClose<Connection>({idle, busy, newest}: OpenConnections<Connection>): Connection {
	const [longestIdle = newest] = idle;

	if (longestIdle !== newest) {
		return longestIdle;
	}

	let untaken: Connection | undefined;

	for (const [connection, exchange] of busy) {
		if (exchange?.request.complete === false) {
			return connection;
		}

		if (exchange?.response.writableEnded === true) {
			untaken ??= connection;
		}
	}

	return untaken ?? newest;
}

/**
Creates the limit.

@example
```
const limit = createConnectionLimit({getMaxConnections: () => 1495, onClose: () => undefined});
server.on('connection', limit.add);
```
*/
export function createConnectionLimit({getMaxConnections, onClose}: ConnectionLimitOptions): ConnectionLimit {
	const idle = new Set<Socket>();
	const busy = new Map<Socket, LatestExchange | undefined>();

	const remove = (socket: Socket) => {
		idle.delete(socket);
		busy.delete(socket);
	};

	const count = () => idle.size + busy.size;

	return {
		add(socket) {
			idle.add(socket);
			socket.once('close', () => {
				remove(socket);
			});

			if (count() > getMaxConnections()) {
				const closed = pickConnectionToClose({idle, busy, newest: socket});
				remove(closed);
				onClose();
				closed.destroy();
			}
		},
		markBusy(socket, exchange) {
			// One that was closed is not counted again.
			if (idle.delete(socket) || busy.has(socket)) {
				busy.set(socket, exchange);
			}
		},
		markIdle(socket) {
			if (busy.delete(socket)) {
				idle.add(socket);
			}
		},
		count,
	};
}
