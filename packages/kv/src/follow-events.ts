import {type CacheEvent, type CacheEvents, type CacheSnapshot} from './messages.js';

/** How far an upstream's cache events have been followed; absent numbers ask for a snapshot. */
export type EventPosition = {
	readonly incarnation: number;
	/** Of the last event taken; `undefined` where a snapshot is needed. */
	readonly sequence: number | undefined;
};

/** A change of what an upstream holds, as the pieces of one prompt. */
export type PieceChange = {readonly root: string; readonly hashes: readonly string[]; readonly isHeld: boolean};

export type EventStep = {
	readonly position: EventPosition;
	readonly changes: readonly PieceChange[];
};

/**
Takes a batch of events. Events may come late, twice or with gaps; after a gap nothing is known for certain, and the
position asks for a snapshot.

@example
```
const {position, changes} = takeEvents({incarnation: 1, sequence: 17}, batch);
```
*/
export function takeEvents(position: EventPosition, {latestSequence, events}: CacheEvents): EventStep {
	const {sequence} = position;
	const doubtful = {position: {...position, sequence: undefined}, changes: []};

	// A number below ours belongs to a life that began after ours was read.
	if (sequence === undefined || latestSequence < sequence) {
		return doubtful;
	}

	const news = events.filter(event => event.sequence > sequence).toSorted((a, b) => a.sequence - b.sequence);
	const isWhole = news.every((event, index) => event.sequence === sequence + index + 1);

	if (!isWhole || (news.length === 0 && latestSequence > sequence)) {
		return doubtful;
	}

	return {position: {...position, sequence: news.at(-1)?.sequence ?? sequence}, changes: groupEvents(news)};
}

/** Takes a snapshot: all that it does not name is not held. */
export function takeSnapshot(position: EventPosition, {sequence, pieces}: CacheSnapshot): EventStep {
	return {
		position: {...position, sequence},
		changes: groupEvents(pieces.map(piece => ({...piece, sequence, isHeld: true}))),
	};
}

// Neighbours of one prompt travel together; their order is kept, since a later event may undo an earlier one.
function groupEvents(events: readonly CacheEvent[]): readonly PieceChange[] {
	const groups: Array<{root: string; hashes: string[]; isHeld: boolean}> = [];

	for (const {root, hash, isHeld} of events) {
		const last = groups.at(-1);

		if (last?.root === root && last.isHeld === isHeld) {
			last.hashes.push(hash);
		} else {
			groups.push({root, hashes: [hash], isHeld});
		}
	}

	return groups;
}
