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
export type PieceUpdate = {
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
	readonly publishChange: (upstreamId: string, change: PieceChange) => void;
	/** Tells one home and awaits that it has taken the note. */
	readonly sendUpdate: (home: MemberRecord, note: PieceUpdate) => Promise<void>;
	/** Counts a prompt as seen once more; `undefined` where its home does not answer. */
	readonly recordUse: (root: string) => Promise<ReturnAnswer | undefined>;
	/** Serves other entries. */
	readonly registerCommands: (commands: LinkCommands) => void;
};

const maxPieces = 100_000;
const maxRoots = 20_000;
/** A look-up stands in the way of a first token. */
const findPiecesTimeoutMs = 50;
const updateTimeoutMs = 1000;

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
	const reuseTable = createReturnTable({maxRoots});
	const listEntries = () => listServing(gossip.getMembership(), RecordKind.Entry);

	const applyUpdate = ({upstreamId, isReset, changes}: PieceUpdate) => {
		if (isReset) {
			directory.dropUpstream(upstreamId);
		}

		for (const {hashes, isHeld} of changes) {
			directory.note(upstreamId, hashes, isHeld);
		}
	};

	const findPromptHome = (root: string): MemberRecord | undefined => findHome(listEntries(), {root, availabilityZone});

	return {
		async findPieces(hashes) {
			const home = hashes.length === 0 ? undefined : findPromptHome(hashes[0]!);

			if (home === undefined || home.id === name) {
				return directory.countHeld(hashes);
			}

			try {
				const reply = await callChecked(links, {address: home.address, message: {kind: LinkKind.FindPieces, hashes}, timeoutMs: findPiecesTimeoutMs});

				return reply.kind === 'pieces' ? new Map(reply.held) : new Map();
			} catch {
				// A directory out of reach costs a recompute, not the request.
				return new Map();
			}
		},
		publishChange(upstreamId, change) {
			if (change.hashes.length === 0) {
				return;
			}

			const note: PieceUpdate = {upstreamId, isReset: false, changes: [change]};

			for (const home of listHomes(listEntries(), change.root)) {
				if (home.id === name) {
					applyUpdate(note);
				} else {
					links.send(home.address, {kind: LinkKind.NotePieces, ...note} satisfies LinkMessage);
				}
			}
		},
		async sendUpdate(home, note) {
			if (home.id === name) {
				applyUpdate(note);
			} else {
				await links.call(home.address, {kind: LinkKind.NotePieces, ...note} satisfies LinkMessage, updateTimeoutMs);
			}
		},
		async recordUse(root) {
			const home = findPromptHome(root);

			if (home === undefined || home.id === name) {
				return reuseTable.note(root);
			}

			try {
				const reply = await callChecked(links, {address: home.address, message: {kind: LinkKind.NoteReturn, root}, timeoutMs: updateTimeoutMs});

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
				applyUpdate(note);
				reply?.({kind: 'noted'});

				return true;
			});
			commands.registerCommand(LinkKind.NoteReturn, isNoteReturnMessage, ({root, reply}) => {
				reply?.({kind: 'returns', ...reuseTable.note(root)});

				return true;
			});
		},
	};
}
