import {EntryKind, type Entry, type LogView} from './types.js';
import {type Member} from './members.js';

/** Index of the newest entry; that of the snapshot where there is none. */
export function getLastIndex(log: LogView): number {
	return log.entries.at(-1)?.index ?? log.snapshot.index;
}

/** Term of the newest entry. */
export function getLastTerm(log: LogView): number {
	return log.entries.at(-1)?.term ?? log.snapshot.term;
}

/** Term of the entry at an index; `undefined` where the log does not reach or the snapshot has replaced it. */
export function getTermAt(log: LogView, index: number): number | undefined {
	if (index === log.snapshot.index) {
		return log.snapshot.term;
	}

	return log.entries[index - log.snapshot.index - 1]?.term;
}

/** Entries with `from <= index <= to`. */
export function sliceEntries(log: LogView, from: number, to: number): readonly Entry[] {
	const base = log.snapshot.index + 1;

	return log.entries.slice(Math.max(0, from - base), Math.max(0, to - base + 1));
}

/** Adds entries, after dropping what stands at their indices and behind. */
export function appendEntries(log: LogView, entries: readonly Entry[]): LogView {
	const first = entries[0];

	if (first === undefined) {
		return log;
	}

	return {...log, entries: [...sliceEntries(log, 0, first.index - 1), ...entries]};
}

/** Finds the newest members entry, which is in force from the moment it is in the log. */
export function findMembers(log: LogView): {readonly members: readonly Member[]; readonly membersIndex: number} {
	for (let position = log.entries.length - 1; position >= 0; position--) {
		const entry = log.entries[position];

		if (entry?.payload.kind === EntryKind.Members) {
			return {members: entry.payload.members, membersIndex: entry.index};
		}
	}

	return {members: log.snapshot.members, membersIndex: log.snapshot.index};
}
