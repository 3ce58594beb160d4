import {type CacheEvent, type CacheEvents, type CacheSnapshot} from './messages.js';

/** Position in an upstream's stream of cache events. */
export type EventPosition = {
	readonly incarnation: number;
	/** Sequence number of the last event that was applied; `undefined` where a snapshot is needed. */
	readonly sequence: number | undefined;
};

/** Pieces of one prompt that an upstream began to hold, or holds no more. */
export type PieceChange = {readonly root: string; readonly hashes: readonly string[]; readonly isHeld: boolean};

export type CacheUpdate = {
	readonly position: EventPosition;
	readonly changes: readonly PieceChange[];
};

/**
Applies a batch of events, which may contain events that were applied before. After a gap, or a restart of the upstream, no change is
returned, and the position asks for a snapshot.

@example
```
const {position, changes} = applyCacheEvents({incarnation: 1, sequence: 17}, batch);
```
*/
export function applyCacheEvents(position: EventPosition, {latestSequence, events}: CacheEvents): CacheUpdate {
	const {sequence} = position;
	const snapshotNeeded = {position: {...position, sequence: undefined}, changes: []};

	// A latest number below ours means that the upstream has restarted: its sequence numbers start again at 1 then.
	if (sequence === undefined || latestSequence < sequence) {
		return snapshotNeeded;
	}

	const newEvents = events.filter(event => event.sequence > sequence).toSorted((a, b) => a.sequence - b.sequence);
	const isContiguous = newEvents.every((event, index) => event.sequence === sequence + index + 1);

	if (!isContiguous || (newEvents.length === 0 && latestSequence > sequence)) {
		return snapshotNeeded;
	}

	return {position: {...position, sequence: newEvents.at(-1)?.sequence ?? sequence}, changes: groupEvents(newEvents)};
}

/** Applies a snapshot; the upstream does not hold any piece that the snapshot does not list. */
export function applyCacheSnapshot(position: EventPosition, {sequence, pieces}: CacheSnapshot): CacheUpdate {
	return {
		position: {...position, sequence},
		changes: groupEvents(pieces.map(piece => ({...piece, sequence, isHeld: true}))),
	};
}

// Groups successive events of one prompt. The order is kept, since a later event may revert an earlier one.
function groupEvents(events: readonly CacheEvent[]): readonly PieceChange[] {
	const groups: Array<{root: string; hashes: string[]; isHeld: boolean}> = [];

	for (const {root, hash, isHeld} of events) {
		const lastGroup = groups.at(-1);

		if (lastGroup?.root === root && lastGroup.isHeld === isHeld) {
			lastGroup.hashes.push(hash);
		} else {
			groups.push({root, hashes: [hash], isHeld});
		}
	}

	return groups;
}
