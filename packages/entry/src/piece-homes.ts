import {findHome, listHomes, type PieceChange} from '@fescuestair/kv';
import {listServing, RecordKind, type MemberRecord} from '@fescuestair/membership';
import {
	callChecked, isFindPiecesMessage, isNotePiecesMessage, isNoteReturnMessage, LinkKind, type LinkCommands, type LinkMessage,
} from '@fescuestair/protocol';
import {type GossipHost} from '@fescuestair/runtime';
import {createDirectory, createReturnTable, type ReturnAnswer} from '@fescuestair/routing';
import {type Links} from '@fescuestair/transport';

export type PieceHomesOptions = {
	/** Name of this entry. */
	readonly name: string;
	readonly availabilityZone: string;
	readonly gossip: GossipHost;
	readonly links: Links;
};

/** What an upstream holds, as told to the entries that keep the beliefs about it. */
export type PieceNote = {
	readonly upstreamId: string;
	/** All earlier beliefs about the upstream are void. */
	readonly isReset: boolean;
	readonly changes: readonly PieceChange[];
};

/** The directory of pieces, spread over the entries by the first piece of a prompt. */
export type PieceHomes = {
	/** For each upstream, how many pieces it is believed to hold, counted from the first. */
	readonly findPieces: (hashes: readonly string[]) => Promise<ReadonlyMap<string, number>>;
	/** Tells the homes of one prompt, without waiting: a belief that gets lost costs a recompute. */
	readonly notePrompt: (upstreamId: string, change: PieceChange) => void;
	/** Tells one home and awaits that it has taken the note. */
	readonly noteAt: (home: MemberRecord, note: PieceNote) => Promise<void>;
	/** Counts a prompt as seen once more; `undefined` where its home does not answer. */
	readonly noteReturn: (root: string) => Promise<ReturnAnswer | undefined>;
	/** Serves other entries. */
	readonly registerCommands: (commands: LinkCommands) => void;
};

const maxPieces = 100_000;
const maxRoots = 20_000;
/** A look-up stands in the way of a first token. */
const findTimeoutMs = 50;
const noteTimeoutMs = 1000;

/**
Creates this entry's part of the directory, and the way to the parts of others.

@example
```
const held = await homes.findPieces(hashes);
held.get('engine-1'); //=> 12
```
*/
export function createPieceHomes({name, availabilityZone, gossip, links}: PieceHomesOptions): PieceHomes {
	const directory = createDirectory({maxPieces});
	const returns = createReturnTable({maxRoots});
	const listEntries = () => listServing(gossip.getMembership(), RecordKind.Entry);

	const takeNote = ({upstreamId, isReset, changes}: PieceNote) => {
		if (isReset) {
			directory.dropUpstream(upstreamId);
		}

		for (const {hashes, isHeld} of changes) {
			directory.note(upstreamId, hashes, isHeld);
		}
	};

	const findHomeOf = (root: string): MemberRecord | undefined => findHome(listEntries(), {root, availabilityZone});

	return {
		async findPieces(hashes) {
			const home = hashes.length === 0 ? undefined : findHomeOf(hashes[0]!);

			if (home === undefined || home.id === name) {
				return directory.countHeld(hashes);
			}

			try {
				const reply = await callChecked(links, {address: home.address, message: {kind: LinkKind.FindPieces, hashes}, timeoutMs: findTimeoutMs});

				return reply.kind === 'pieces' ? new Map(reply.held) : new Map();
			} catch {
				// A directory out of reach costs a recompute, not the request.
				return new Map();
			}
		},
		notePrompt(upstreamId, change) {
			if (change.hashes.length === 0) {
				return;
			}

			const note: PieceNote = {upstreamId, isReset: false, changes: [change]};

			for (const home of listHomes(listEntries(), change.root)) {
				if (home.id === name) {
					takeNote(note);
				} else {
					links.send(home.address, {kind: LinkKind.NotePieces, ...note} satisfies LinkMessage);
				}
			}
		},
		async noteAt(home, note) {
			if (home.id === name) {
				takeNote(note);
			} else {
				await links.call(home.address, {kind: LinkKind.NotePieces, ...note} satisfies LinkMessage, noteTimeoutMs);
			}
		},
		async noteReturn(root) {
			const home = findHomeOf(root);

			if (home === undefined || home.id === name) {
				return returns.note(root);
			}

			try {
				const reply = await callChecked(links, {address: home.address, message: {kind: LinkKind.NoteReturn, root}, timeoutMs: noteTimeoutMs});

				return reply.kind === 'returns' ? reply : undefined;
			} catch {
				return undefined;
			}
		},
		registerCommands(commands) {
			commands.registerCommand(LinkKind.FindPieces, isFindPiecesMessage, ({hashes, reply}) => {
				reply?.({kind: 'pieces', held: [...directory.countHeld(hashes)]});

				return true;
			});
			commands.registerCommand(LinkKind.NotePieces, isNotePiecesMessage, ({reply, ...note}) => {
				takeNote(note);
				reply?.({kind: 'noted'});

				return true;
			});
			commands.registerCommand(LinkKind.NoteReturn, isNoteReturnMessage, ({root, reply}) => {
				reply?.({kind: 'returns', ...returns.note(root)});

				return true;
			});
		},
	};
}
