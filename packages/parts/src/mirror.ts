import {type PartsPoll, type PartsReply, type PartKey} from './types.js';
import {createPartsView, applyPartsReply, type PartsView} from './view.js';

/** Changes between two revisions of the index within one epoch. */
type RevisionDelta = {
	readonly from: number;
	readonly to: number;
	readonly added: PartsReply['added'];
	readonly removed: readonly PartKey[];
};

/** A coordinator's copy of the parts index, from which it answers gateways. Immutable. */
export type PartsMirror = {
	readonly view: PartsView;
	/** The latest changes; each begins at the revision where the one before ends. */
	readonly deltas: readonly RevisionDelta[];
};

/** Deltas kept for gateways that are behind: several times as many as arrive between two polls of a gateway. */
const maxDeltas = 50;

/** Creates a mirror that has received no reply yet. */
export function createPartsMirror(): PartsMirror {
	return {view: createPartsView(), deltas: []};
}

/** Applies a reply of the leader to a mirror. */
export function applyMirrorReply({view, deltas}: PartsMirror, reply: PartsReply, requestedAtMs: number): PartsMirror {
	const isIncremental = !reply.isWhole && reply.epoch === view.epoch;
	const next: RevisionDelta = {
		from: view.revision, to: reply.revision, added: reply.added, removed: reply.removed,
	};

	return {
		view: applyPartsReply(view, reply, requestedAtMs),
		deltas: isIncremental && next.to === next.from ? deltas : (isIncremental ? [...deltas, next].slice(-maxDeltas) : []),
	};
}

/**
Answers a poll from the mirror; `undefined` before the mirror's first reply. The clock in the reply is as old as the mirror, so the receiver
dates the reply to the time of its request less `ageMs`. A mirror that is out of date thus makes fetch deadlines earlier, never later.

@example
```
const {reply, ageMs} = answerFromMirror(mirror, poll, nowMs)!;
```
*/
export function answerFromMirror({view, deltas}: PartsMirror, poll: PartsPoll, nowMs: number): {readonly reply: PartsReply; readonly ageMs: number} | undefined {
	if (view.epoch === undefined) {
		return undefined;
	}

	const firstMissed = deltas.findIndex(delta => delta.to > poll.revision);
	const isUpToDate = poll.epoch === view.epoch && poll.revision === view.revision;
	const isCovered = poll.epoch === view.epoch && firstMissed !== -1 && deltas[firstMissed]!.from <= poll.revision && poll.revision < view.revision;
	const isWhole = !isUpToDate && !isCovered;
	const changes = isCovered ? mergeDeltas(deltas.slice(firstMissed)) : {added: [], removed: []};

	return {
		ageMs: Math.max(0, nowMs - view.requestedAtMs),
		reply: {
			epoch: view.epoch,
			revision: view.revision,
			clockMs: view.clockMs,
			isWhole,
			added: isWhole ? [...view.locations.values()] : changes.added,
			removed: changes.removed,
		},
	};
}

function mergeDeltas(deltas: readonly RevisionDelta[]): Pick<RevisionDelta, 'added' | 'removed'> {
	let view = createPartsView();
	const removed = new Set<PartKey>();

	for (const delta of deltas) {
		view = applyPartsReply(view, {
			epoch: '', revision: delta.to, clockMs: 0, isWhole: false, added: delta.added, removed: delta.removed,
		}, 0);

		for (const key of delta.removed) {
			removed.add(key);
		}
	}

	return {added: [...view.locations.values()], removed: [...removed].filter(key => !view.locations.has(key))};
}
