import test from 'ava';
import fc from 'fast-check';
import {
	countQueuedBytes, createLinkBudget, findHome, listHomes, PieceFault, releaseLink, reserveLink, filterVerified, setLinkShare, computeLinkShare, applyCacheEvents, applyCacheSnapshot,
	type CacheEvent, type EventPosition,
	type PieceChange, type PieceManifest,
} from '../../index.js';

const root = 'a'.repeat(32);

function createManifest(index: number, extra: Partial<PieceManifest> = {}): PieceManifest {
	return {
		hash: index.toString(16).padStart(32, '0'), root, generation: 7, length: 100, digest: 'd'.repeat(64), ...extra,
	};
}

test('pieces are usable up to the first one that was not read, changed in the store during the read, or differs from its manifest', t => {
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

type Poll = {readonly upTo: number; readonly dropped: number; readonly isRepeated: boolean};

/** Follows a history through polls that lose and repeat events; returns the hashes that the follower assumes to be held at the end. */
function followEvents(history: History, polls: readonly Poll[]): Set<string> {
	let position: EventPosition = {incarnation: 1, sequence: 0};
	let assumedHeld = new Set<string>();

	for (const {upTo, dropped, isRepeated} of [...polls, {upTo: history.length, dropped: -1, isRepeated: false}]) {
		const sequence = position.sequence ?? 0;
		const known = history.slice(0, Math.max(upTo, sequence));
		const sent = known.filter((event, index) => event.sequence > sequence - (isRepeated ? 2 : 0) && index !== dropped);
		const step = applyCacheEvents(position, {latestSequence: known.length, events: sent});
		position = step.position;
		applyChanges(assumedHeld, step.changes);

		if (position.sequence === undefined) {
			const snapshot = applyCacheSnapshot(position, {sequence: known.length, pieces: [...replay(history, known.length)].map(hash => ({hash, root}))});
			position = snapshot.position;
			assumedHeld = new Set();
			applyChanges(assumedHeld, snapshot.changes);
		}
	}

	return assumedHeld;
}

function applyChanges(assumedHeld: Set<string>, changes: readonly PieceChange[]): void {
	for (const {hashes, isHeld} of changes) {
		for (const hash of hashes) {
			if (isHeld) {
				assumedHeld.add(hash);
			} else {
				assumedHeld.delete(hash);
			}
		}
	}
}

test('a follower ends with the pieces that the upstream holds, whichever events are lost, late or repeated', t => {
	const historyArbitrary = fc.array(fc.record({piece: fc.nat(5), isHeld: fc.boolean()}), {minLength: 1, maxLength: 40})
		.map(items => items.map(({piece, isHeld}, index): CacheEvent => ({
			sequence: index + 1, hash: createManifest(piece).hash, root: piece % 2 === 0 ? root : 'b'.repeat(32), isHeld,
		})));
	const pollsArbitrary = fc.array(fc.record({upTo: fc.nat(40), dropped: fc.nat(40), isRepeated: fc.boolean()}), {maxLength: 10});

	t.notThrows(() => {
		fc.assert(fc.property(historyArbitrary, pollsArbitrary, (history, polls) => {
			const assumedHeld = followEvents(history, polls);

			return [...assumedHeld].toSorted().join(',') === [...replay(history, history.length)].toSorted().join(',');
		}), {seed: 11, numRuns: 500});
	});
});

test('a restart of the upstream requires a snapshot', t => {
	t.is(applyCacheEvents({incarnation: 1, sequence: 9}, {latestSequence: 2, events: []}).position.sequence, undefined);
});

test('entries that share a link keep its budget together, however they distribute their transfers', t => {
	t.notThrows(() => {
		fc.assert(fc.property(
			fc.integer({min: 1, max: 8}),
			fc.array(fc.record({entry: fc.nat(7), bytes: fc.integer({min: 1, max: 50_000}), gapMs: fc.nat(400)}), {maxLength: 60}),
			(entries, transfers) => {
				const rate = 100_000;
				const budgets = Array.from({length: entries}, () => createLinkBudget(computeLinkShare({linkBytesPerSecond: rate, linkShare: 0.5, entries})));
				let nowMs = 0;
				let endMs = 0;
				let bytes = 0;

				for (const transfer of transfers) {
					nowMs += transfer.gapMs;
					const index = transfer.entry % entries;
					const reserved = reserveLink(budgets[index]!, transfer.bytes, nowMs);
					budgets[index] = reserved.budget;
					bytes += transfer.bytes;
					endMs = Math.max(endMs, reserved.budget.freeAtMs);
				}

				return bytes <= (endMs * rate * 0.5 / 1000) + 1;
			},
		), {seed: 12});
	});
});

test('queued bytes survive a change of the share, and can be released', t => {
	const {budget} = reserveLink(createLinkBudget(1000), 2000, 0);
	t.is(countQueuedBytes(setLinkShare(budget, 500, 0), 0), 2000);
	t.is(setLinkShare(budget, 500, 0).freeAtMs, 4000);
	t.is(countQueuedBytes(releaseLink(budget, 2000), 0), 0);
});

test('the home that a zone looks up is among the homes that are notified of changes', t => {
	const entries = [1, 2, 3, 4, 5].map(index => ({id: `entry-${index}`, incarnation: 1, availabilityZone: index < 4 ? 'north' : `zone-${index}`}));

	for (let index = 0; index < 50; index++) {
		const prompt = index.toString(16).padStart(32, '0');
		const homes = listHomes(entries, prompt);

		for (const {availabilityZone} of entries) {
			t.true(homes.includes(findHome(entries, {root: prompt, availabilityZone})!));
		}
	}
});
