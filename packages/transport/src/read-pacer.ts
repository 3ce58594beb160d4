import {type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {getReadGate, ReadHold, type ReadGate} from './read-gate.js';

/** Keeps connections whose bytes come in very many small pieces from taking the event loop from all others. */
export type ReadPacer = {
	/** Returns the function to be called for each piece that is read from a connection: a chunk of a body, or an interim response. */
	readonly open: (socket: Socket) => () => void;
	/** Connections that wait for their turn. */
	readonly countHeld: () => number;
};

export type ReadPacerOptions = {
	readonly getGate?: (socket: Socket) => ReadGate;
	readonly readNowMs?: () => number;
	/** Calls a function in the next turn of the event loop. */
	readonly runNextTurn?: (callback: () => void) => void;
	/** Calls a function once after a delay. */
	readonly delay?: (callback: () => void, delayMs: number) => void;
	/** Pieces that are read from one connection within one turn before it has to wait. */
	readonly maxPiecesPerTurn?: number;
};

type PacedConnection = {
	readonly socket: Socket;
	turn: number;
	pieces: number;
};

const defaultMaxPiecesPerTurn = 1000;

/**
Creates a pacer. Of the connections beyond their share one at a time is read again, and then none for as long as that took: together they get half of the event loop at most.

@example
```
const pacer = createReadPacer();
const recordPiece = pacer.open(response.socket);
response.on('data', recordPiece);
```
*/
export function createReadPacer({
	getGate = getReadGate, readNowMs = () => performance.now(), runNextTurn = setImmediate, delay = setTimeout, maxPiecesPerTurn = defaultMaxPiecesPerTurn,
}: ReadPacerOptions = {}): ReadPacer {
	const connections = new WeakMap<Socket, PacedConnection>();
	const waiting = new Set<PacedConnection>();
	let turn = 0;
	let isTurnEndScheduled = false;
	let isReleasing = false;

	const scheduleTurnEnd = () => {
		if (!isTurnEndScheduled) {
			isTurnEndScheduled = true;
			runNextTurn(() => {
				isTurnEndScheduled = false;
				turn++;
			});
		}
	};

	const releaseNext = () => {
		const [connection] = waiting;

		if (connection === undefined) {
			isReleasing = false;

			return;
		}

		waiting.delete(connection);
		const startedAtMs = readNowMs();
		getGate(connection.socket).release(ReadHold.Pace);
		// After the first turn, what was buffered has been handled; after the second, what the loop has read since.
		runNextTurn(() => {
			runNextTurn(() => {
				delay(releaseNext, readNowMs() - startedAtMs);
			});
		});
	};

	const hold = (connection: PacedConnection) => {
		getGate(connection.socket).hold(ReadHold.Pace);
		waiting.add(connection);

		if (!isReleasing) {
			isReleasing = true;
			runNextTurn(releaseNext);
		}
	};

	const addConnection = (socket: Socket): PacedConnection => {
		const connection = {socket, turn, pieces: 0};
		connections.set(socket, connection);

		return connection;
	};

	return {
		open(socket) {
			const connection = connections.get(socket) ?? addConnection(socket);

			return () => {
				if (connection.turn !== turn) {
					connection.turn = turn;
					connection.pieces = 0;
				}

				connection.pieces++;
				scheduleTurnEnd();

				if (connection.pieces === maxPiecesPerTurn) {
					hold(connection);
				}
			};
		},
		countHeld: () => waiting.size,
	};
}

/** The pacer of this process: all connections share its event loop. */
export const processReadPacer = createReadPacer();
