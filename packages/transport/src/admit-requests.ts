import {type IncomingMessage, type RequestListener, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {CallerEviction, processCallerBudget, type CallerBudget} from './caller-budget.js';
import {type Holding} from './memory-budget.js';
import {getReadGate, ReadHold} from './read-gate.js';

export type AdmitRequestsOptions = {
	readonly budget?: CallerBudget;
	/** Requests of one connection that are handled at once; the next one waits until the first of them has been answered and its answer taken. */
	readonly maxRunning?: number;
	/** Requests of one connection that may wait: as many as are read before the reading stops, unless they are very short. */
	readonly maxWaiting?: number;
};

type Connection = {
	readonly running: Set<ServerResponse>;
	readonly waiting: Array<readonly [IncomingMessage, ServerResponse]>;
	/** The memory of the requests that wait; `undefined` where none does. */
	holding: Holding | undefined;
};

const defaultMaxRunning = 2;
const defaultMaxWaiting = 256;
/** About what a request takes without its body, and each name and value of its fields, also where they are very short. */
const requestBytes = 8192;
const fieldPartBytes = 128;
/** Names and values of the fields of an ordinary request, which is not counted. */
const maxUncountedFieldParts = 200;

/**
Wraps the handler of a server, so that requests sent ahead on a connection are read no faster than the answers before them are taken. They are handled in their order. A connection that
has sent far too many is closed, and those that wait are not handled.

@example
```
server.on('request', admitRequests(handleRequest));
```
*/
export function admitRequests(handle: RequestListener, {
	budget = processCallerBudget, maxRunning = defaultMaxRunning, maxWaiting = defaultMaxWaiting,
}: AdmitRequestsOptions = {}): RequestListener {
	const connections = new WeakMap<Socket, Connection>();

	const addConnection = (socket: Socket): Connection => {
		const connection: Connection = {running: new Set(), waiting: [], holding: undefined};
		connections.set(socket, connection);
		// Node tells the response that is being sent; those that wait behind it learn nothing.
		socket.once('close', () => {
			for (const response of [...connection.running].filter(one => one.socket === null)) {
				response.destroy();
				response.emit('close');
			}
		});

		return connection;
	};

	const stopWaiting = (socket: Socket, connection: Connection) => {
		connection.holding?.release();
		connection.holding = undefined;
		getReadGate(socket).release(ReadHold.RequestsAhead);
	};

	const countFields = ({socket, rawHeaders}: IncomingMessage, response: ServerResponse) => {
		if (rawHeaders.length > maxUncountedFieldParts) {
			const holding = budget.open(() => {
				socket.destroy();
			});
			response.once('close', holding.release);
			holding.resize(rawHeaders.length * fieldPartBytes);
		}
	};

	const sumWaitingBytes = ({waiting}: Connection) => waiting.reduce((sum, [{rawHeaders}]) => sum + requestBytes + (rawHeaders.length * fieldPartBytes), 0);

	const start = (connection: Connection, request: IncomingMessage, response: ServerResponse) => {
		const {socket} = request;
		connection.running.add(response);
		budget.connections.markBusy(socket, {request, response});
		countFields(request, response);
		response.once('close', () => {
			connection.running.delete(response);
			startNext(socket, connection);
		});

		if (!socket.destroyed) {
			handle(request, response);
		}
	};

	const startNext = (socket: Socket, connection: Connection) => {
		if (socket.destroyed) {
			connection.waiting.length = 0;
		}

		const next = connection.running.size < maxRunning ? connection.waiting.shift() : undefined;

		if (connection.waiting.length === 0 && connection.holding !== undefined) {
			stopWaiting(socket, connection);
		}

		if (next !== undefined) {
			connection.holding?.resize(sumWaitingBytes(connection));
			start(connection, ...next);
		} else if (connection.running.size === 0) {
			budget.connections.markIdle(socket);
		}
	};

	const closeConnection = (socket: Socket, connection: Connection) => {
		connection.waiting.length = 0;
		stopWaiting(socket, connection);
		socket.destroy();
	};

	// What is behind it on the connection has not been read, and those before it have been read whole, so none of them needs the connection to be read.
	const wait = (connection: Connection, request: IncomingMessage, response: ServerResponse) => {
		const {socket} = request;
		connection.waiting.push([request, response]);

		if (connection.holding === undefined) {
			getReadGate(socket).hold(ReadHold.RequestsAhead);
			connection.holding = budget.open(() => {
				closeConnection(socket, connection);
			});
			socket.once('close', connection.holding.release);
		}

		if (connection.waiting.length > maxWaiting) {
			budget.recordEviction(CallerEviction.RequestsAhead);
			closeConnection(socket, connection);
		} else {
			connection.holding.resize(sumWaitingBytes(connection));
		}
	};

	return (request, response) => {
		const {socket} = request;

		// Node goes on with the bytes that it has read before.
		if (socket.destroyed) {
			return;
		}

		const connection = connections.get(socket) ?? addConnection(socket);

		if (connection.running.size < maxRunning && connection.waiting.length === 0) {
			start(connection, request, response);
		} else {
			wait(connection, request, response);
		}
	};
}
