import {type CacheEvent, type CacheEvents, type CacheSnapshot} from '@fescuestair/kv';

/** Additions and removals of the pieces that an engine or store holds. Only the latest events are kept: a reader that falls behind finds a gap in the sequence. */
export type CacheEventLog = {
	readonly note: (piece: {readonly hash: string; readonly root: string}, isHeld: boolean) => void;
	readonly read: (afterSequence: number) => CacheEvents;
	readonly createSnapshot: (pieces: CacheSnapshot['pieces']) => CacheSnapshot;
};

export function createCacheEventLog(maxEvents: number): CacheEventLog {
	const events: CacheEvent[] = [];
	let latestSequence = 0;

	return {
		note({hash, root}, isHeld) {
			latestSequence++;
			events.push({
				sequence: latestSequence, hash, root, isHeld,
			});
			events.splice(0, Math.max(0, events.length - maxEvents));
		},
		read: afterSequence => ({latestSequence, events: events.filter(event => event.sequence > afterSequence)}),
		createSnapshot: pieces => ({sequence: latestSequence, pieces}),
	};
}
