import test from 'ava';
import fc from 'fast-check';
import {
	countQueuedBytes, createLinkBudget, findHome, listHomes, PieceFault, releaseLink, reserveLink, filterVerified, setLinkShare, computeLinkShare, takeEvents, takeSnapshot,
	type CacheEvent, type EventPosition,
	type PieceChange, type PieceManifest,
} from '../../index.js';

const root = 'a'.repeat(32);

function createManifest(index: number, extra: Partial<PieceManifest> = {}): PieceManifest {
	return {
		hash: index.toString(16).padStart(32, '0'), root, generation: 7, length: 100, digest: 'd'.repeat(64), ...extra,
	};
}

test('only pieces that were the same before, during and after the read may be used, up to the first that was not', t => {
	const before = [0, 1, 2, 3].map(index => createManifest(index));
	t.is(filterVerified({before, received: before, after: before}).hashes.length, 4);
	const faults: ReadonlyArray<readonly [PieceFault, Partial<Record<'received' | 'after', Array<PieceManifest | undefined>>>]> = [
		[PieceFault.NotRead, {received: [undefined]}],
		[PieceFault.OtherGeneration, {received: [createManifest(2, {generation: 8})]}],
		[PieceFault.OtherGeneration, {after: [createManifest(2, {generation: 8})]}],
		[PieceFault.OtherGeneration, {after: [undefined]}],
		[PieceFault.OtherLength, {received: [createManifest(2, {length: 99})]}],
		[PieceFault.OtherDigest, {received: [createManifest(2, {digest: 'e'.repeat(64)})]}],
	];

	for (const [fault, change] of faults) {
		const replace = (pieces: Array<PieceManifest | undefined> | undefined) => pieces === undefined
			? before
			: [...before.slice(0, 2), ...pieces, before[3]!].filter(piece => piece !== undefined);
		const verified = filterVerified({before, received: replace(change.received), after: replace(change.after)});
		t.deepEqual(verified.hashes, before.slice(0, 2).map(piece => piece.hash));
		t.deepEqual(verified.faults, [{hash: before[2]!.hash, fault}]);
	}
});

type History = readonly CacheEvent[];

function replay(history: History, count: number): Set<string> {
	const held = new Set<string>();

	for (const event of history.slice(0, count)) {
		if (event.isHeld) {
			held.add(event.hash);
		} else {
			held.delete(event.hash);
		}
	}

	return held;
}

type Read = {readonly upTo: number; readonly dropped: number; readonly isDoubled: boolean};

/** Follows a history through reads that lose and repeat events, and gives back what is believed to be held at its end. */
function follow(history: History, reads: readonly Read[]): Set<string> {
	let position: EventPosition = {incarnation: 1, sequence: 0};
	let believed = new Set<string>();

	for (const {upTo, dropped, isDoubled} of [...reads, {upTo: history.length, dropped: -1, isDoubled: false}]) {
		const sequence = position.sequence ?? 0;
		const known = history.slice(0, Math.max(upTo, sequence));
		const sent = known.filter((event, index) => event.sequence > sequence - (isDoubled ? 2 : 0) && index !== dropped);
		const step = takeEvents(position, {latestSequence: known.length, events: sent});
		position = step.position;
		applyChanges(believed, step.changes);

		if (position.sequence === undefined) {
			const snapshot = takeSnapshot(position, {sequence: known.length, pieces: [...replay(history, known.length)].map(hash => ({hash, root}))});
			position = snapshot.position;
			believed = new Set();
			applyChanges(believed, snapshot.changes);
		}
	}

	return believed;
}

function applyChanges(believed: Set<string>, changes: readonly PieceChange[]): void {
	for (const {hashes, isHeld} of changes) {
		for (const hash of hashes) {
			if (isHeld) {
				believed.add(hash);
			} else {
				believed.delete(hash);
			}
		}
	}
}

test('whatever events are lost, late or doubled, a follower ends with what the upstream holds', t => {
	const historyOf = fc.array(fc.record({piece: fc.nat(5), isHeld: fc.boolean()}), {minLength: 1, maxLength: 40})
		.map(items => items.map(({piece, isHeld}, index): CacheEvent => ({
			sequence: index + 1, hash: createManifest(piece).hash, root: piece % 2 === 0 ? root : 'b'.repeat(32), isHeld,
		})));
	const readsOf = fc.array(fc.record({upTo: fc.nat(40), dropped: fc.nat(40), isDoubled: fc.boolean()}), {maxLength: 10});

	t.notThrows(() => {
		fc.assert(fc.property(historyOf, readsOf, (history, reads) => {
			const believed = follow(history, reads);

			return [...believed].toSorted().join(',') === [...replay(history, history.length)].toSorted().join(',');
		}), {seed: 11, numRuns: 500});
	});
});

test('an upstream that started anew is read anew', t => {
	t.is(takeEvents({incarnation: 1, sequence: 9}, {latestSequence: 2, events: []}).position.sequence, undefined);
});

test('entries that share a link hold its budget together, whatever each wants', t => {
	t.notThrows(() => {
		fc.assert(fc.property(
			fc.integer({min: 1, max: 8}),
			fc.array(fc.record({entry: fc.nat(7), bytes: fc.integer({min: 1, max: 50_000}), gapMs: fc.nat(400)}), {maxLength: 60}),
			(entries, wishes) => {
				const rate = 100_000;
				const budgets = Array.from({length: entries}, () => createLinkBudget(computeLinkShare({linkBytesPerSecond: rate, linkShare: 0.5, entries})));
				let nowMs = 0;
				let endMs = 0;
				let bytes = 0;

				for (const wish of wishes) {
					nowMs += wish.gapMs;
					const index = wish.entry % entries;
					const reserved = reserveLink(budgets[index]!, wish.bytes, nowMs);
					budgets[index] = reserved.budget;
					bytes += wish.bytes;
					endMs = Math.max(endMs, reserved.budget.freeAtMs);
				}

				return bytes <= (endMs * rate * 0.5 / 1000) + 1;
			},
		), {seed: 12});
	});
});

test('bytes queued outlast a change of share, and can be given back', t => {
	const {budget} = reserveLink(createLinkBudget(1000), 2000, 0);
	t.is(countQueuedBytes(setLinkShare(budget, 500, 0), 0), 2000);
	t.is(setLinkShare(budget, 500, 0).freeAtMs, 4000);
	t.is(countQueuedBytes(releaseLink(budget, 2000), 0), 0);
});

test('whoever asks for a prompt finds an entry that is told of its pieces', t => {
	const entries = [1, 2, 3, 4, 5].map(index => ({id: `entry-${index}`, incarnation: 1, availabilityZone: index < 4 ? 'north' : `zone-${index}`}));

	for (let index = 0; index < 50; index++) {
		const prompt = index.toString(16).padStart(32, '0');
		const homes = listHomes(entries, prompt);

		for (const {availabilityZone} of entries) {
			t.true(homes.includes(findHome(entries, {root: prompt, availabilityZone})!));
		}
	}
});
