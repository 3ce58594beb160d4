import {type CacheEvent, type CacheEvents, type CacheSnapshot} from '@fescuestair/kv';

/** Events about the pieces that an upstream stand-in holds; old ones are forgotten, so that a late reader finds a gap. */
export type CacheLog = {
	readonly note: (piece: {readonly hash: string; readonly root: string}, isHeld: boolean) => void;
	readonly read: (afterSequence: number) => CacheEvents;
	readonly takeSnapshot: (pieces: CacheSnapshot['pieces']) => CacheSnapshot;
};

/** Creates the log. */
export function createCacheLog(maxEvents: number): CacheLog {
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
		takeSnapshot: pieces => ({sequence: latestSequence, pieces}),
	};
}
