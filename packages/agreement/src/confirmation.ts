import {findConfirmedAtMs} from './confirm-read.js';
import {
	type AppendMessage, type ClockReading, type Confirmation, type ReplicaState,
} from './types.js';

/**
Finds the latest moment for which a replica knows the index of all that had been committed by then; `undefined` if there is none since its start. Its applied state is as fresh as that
moment once it has applied that index.

The moment is never that at which a message was read, since messages wait in sockets and in processes that stand still. A leader counts from when it sent what a majority has acknowledged. A
follower counts from its own latest reply that the leader had received before it sent, less the time that the leader named. Only readings of one clock are compared, and no lease is relied on.

@example
```
findConfirmation(state, nowMs); //=> {knownAtMs: 11_800, commitIndex: 41}
```
*/
export function findConfirmation(state: ReplicaState, nowMs: number): Confirmation | undefined {
	const own = computeOwnConfirmation(state, nowMs);
	const received = state.receivedConfirmation;

	return own !== undefined && own.knownAtMs >= (received?.knownAtMs ?? Number.NEGATIVE_INFINITY) ? own : received;
}

/** The fields of a message by which a leader confirms to a member what was committed. */
export function createConfirmationFields(state: ReplicaState, reading: ClockReading | undefined, nowMs: number): Pick<AppendMessage, 'confirmedForMs' | 'reading'> {
	const own = reading === undefined ? undefined : computeOwnConfirmation(state, nowMs);

	return own === undefined ? {} : {confirmedForMs: nowMs - own.knownAtMs, reading};
}

/** Takes the confirmation of a leader's message, unless a later one is known, or the message answers another run of this replica. */
export function takeConfirmation(state: ReplicaState, {commitIndex, confirmedForMs, reading}: AppendMessage, nowMs: number): Confirmation | undefined {
	const previous = state.receivedConfirmation;

	if (confirmedForMs === undefined || confirmedForMs < 0 || reading?.clockId !== state.clockId || reading.atMs > nowMs) {
		return previous;
	}

	const knownAtMs = reading.atMs - confirmedForMs;

	return previous !== undefined && previous.knownAtMs >= knownAtMs ? previous : {knownAtMs, commitIndex};
}

/** The later of two readings of a member's clock; that of another run replaces the one before. */
export function chooseReading(previous: ClockReading | undefined, next: ClockReading | undefined): ClockReading | undefined {
	return next === undefined || (previous?.clockId === next.clockId && previous.atMs >= next.atMs) ? previous : next;
}

function computeOwnConfirmation(state: ReplicaState, nowMs: number): Confirmation | undefined {
	const confirmedAtMs = findConfirmedAtMs(state);

	return confirmedAtMs === Number.NEGATIVE_INFINITY ? undefined : {knownAtMs: Math.min(confirmedAtMs, nowMs), commitIndex: state.commitIndex};
}
