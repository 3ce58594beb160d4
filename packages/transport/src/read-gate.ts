import {type Socket} from 'node:net';

/** Why nothing is read from a connection for now. */
export enum ReadHold {
	/** It has had its share of the event loop. */
	Pace = 'pace',
	/** Whoever receives what is read takes nothing more. */
	Backpressure = 'backpressure',
	/** The requests before it have not been answered. */
	RequestsAhead = 'requests_ahead',
}

/** Stops and resumes the reading from a connection, for several reasons at once. */
export type ReadGate = {
	readonly hold: (reason: ReadHold) => void;
	/** Ends one reason; the connection is read again once there is none. */
	readonly release: (reason: ReadHold) => void;
};

const gates = new WeakMap<Socket, ReadGate>();

/**
Returns the gate of a connection. To pause a message of it would not do: Node then parses the rest of what was read into one buffer object a chunk. Node's HTTP layer resumes
connections by itself, so one that is held is paused again.

@example
```
const gate = getReadGate(response.socket);
gate.hold(ReadHold.Backpressure);
gate.release(ReadHold.Backpressure);
```
*/
export function getReadGate(socket: Socket): ReadGate {
	const known = gates.get(socket);

	if (known !== undefined) {
		return known;
	}

	const reasons = new Set<ReadHold>();
	socket.on('resume', () => {
		if (reasons.size > 0) {
			socket.pause();
		}
	});

	const gate: ReadGate = {
		hold(reason) {
			reasons.add(reason);
			socket.pause();
		},
		release(reason) {
			if (reasons.delete(reason) && reasons.size === 0 && !socket.destroyed) {
				socket.resume();
			}
		},
	};

	gates.set(socket, gate);

	return gate;
}
