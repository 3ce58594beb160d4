import {type PartsPoll, type PartsReply, type PartKey} from './types.js';
import {createPartsView, takePartsReply, type PartsView} from './view.js';

/** Changes between two revisions of one keeper. */
type Segment = {
	readonly from: number;
	readonly to: number;
	readonly added: PartsReply['added'];
	readonly removed: readonly PartKey[];
};

/** A copy of the keeper's parts, kept by a daemon that answers others from it. Immutable. */
export type PartsMirror = {
	readonly view: PartsView;
	/** The newest changes, each following the one before. */
	readonly segments: readonly Segment[];
};

/** Changes kept for daemons that poll: some times as many as pass between two polls. */
const maxSegments = 50;

/** Creates a mirror that was told nothing yet. */
export function createPartsMirror(): PartsMirror {
	return {view: createPartsView(), segments: []};
}

/** Takes a reply of the keeper. */
export function takeMirrorReply({view, segments}: PartsMirror, reply: PartsReply, askedAtMs: number): PartsMirror {
	const isNext = !reply.isWhole && reply.epoch === view.epoch;
	const next: Segment = {
		from: view.revision, to: reply.revision, added: reply.added, removed: reply.removed,
	};

	return {
		view: takePartsReply(view, reply, askedAtMs),
		segments: isNext && next.to === next.from ? segments : (isNext ? [...segments, next].slice(-maxSegments) : []),
	};
}

/**
Answers a daemon from the mirror; `undefined` where nothing is known yet. The clock in the answer is as old as the mirror: the one that
asks counts from when it asked, less `ageMs`, so a frozen mirror makes fetches end too early, never too late.

@example
```
const {reply, ageMs} = answerFromMirror(mirror, poll, nowMs)!;
```
*/
export function answerFromMirror({view, segments}: PartsMirror, poll: PartsPoll, nowMs: number): {readonly reply: PartsReply; readonly ageMs: number} | undefined {
	if (view.epoch === undefined) {
		return undefined;
	}

	const first = segments.findIndex(segment => segment.to > poll.revision);
	const isUpToDate = poll.epoch === view.epoch && poll.revision === view.revision;
	const isReached = poll.epoch === view.epoch && first !== -1 && segments[first]!.from <= poll.revision && poll.revision < view.revision;
	const isWhole = !isUpToDate && !isReached;
	const missed = isReached ? mergeSegments(segments.slice(first)) : {added: [], removed: []};

	return {
		ageMs: Math.max(0, nowMs - view.askedAtMs),
		reply: {
			epoch: view.epoch,
			revision: view.revision,
			clockMs: view.clockMs,
			isWhole,
			added: isWhole ? [...view.places.values()] : missed.added,
			removed: missed.removed,
		},
	};
}

function mergeSegments(segments: readonly Segment[]): Pick<Segment, 'added' | 'removed'> {
	let view = createPartsView();
	const removed = new Set<PartKey>();

	for (const segment of segments) {
		view = takePartsReply(view, {
			epoch: '', revision: segment.to, clockMs: 0, isWhole: false, added: segment.added, removed: segment.removed,
		}, 0);

		for (const key of segment.removed) {
			removed.add(key);
		}
	}

	return {added: [...view.places.values()], removed: [...removed].filter(key => !view.places.has(key))};
}
