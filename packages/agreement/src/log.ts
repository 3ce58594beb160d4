import {EntryKind, type Entry, type ReplicaLog} from './types.js';
import {type Member} from './members.js';

/** Index of the last entry, or of the snapshot if there are no entries. */
export function getLastIndex(log: ReplicaLog): number {
	return log.entries.at(-1)?.index ?? log.snapshot.index;
}

/** Term of the last entry, or of the snapshot if there are no entries. */
export function getLastTerm(log: ReplicaLog): number {
	return log.entries.at(-1)?.term ?? log.snapshot.term;
}

/** Term of the entry at an index; `undefined` if the index is past the end of the log or was compacted. */
export function getTermAt(log: ReplicaLog, index: number): number | undefined {
	if (index === log.snapshot.index) {
		return log.snapshot.term;
	}

	return log.entries[index - log.snapshot.index - 1]?.term;
}

/** Entries with `from <= index <= to`. */
export function sliceEntries(log: ReplicaLog, from: number, to: number): readonly Entry[] {
	const firstIndex = log.snapshot.index + 1;

	return log.entries.slice(Math.max(0, from - firstIndex), Math.max(0, to - firstIndex + 1));
}

/** Appends entries, after truncating the log from the index of the first one. */
export function appendEntries(log: ReplicaLog, entries: readonly Entry[]): ReplicaLog {
	const first = entries[0];

	if (first === undefined) {
		return log;
	}

	return {...log, entries: [...sliceEntries(log, 0, first.index - 1), ...entries]};
}

/** Finds the members set by the latest entry of that kind. They apply as soon as the entry is in the log, before it is committed. */
export function findLatestMembers(log: ReplicaLog): {readonly members: readonly Member[]; readonly membersIndex: number} {
	for (let position = log.entries.length - 1; position >= 0; position--) {
		const entry = log.entries[position];

		if (entry?.payload.kind === EntryKind.Members) {
			return {members: entry.payload.members, membersIndex: entry.index};
		}
	}

	return {members: log.snapshot.members, membersIndex: log.snapshot.index};
}
