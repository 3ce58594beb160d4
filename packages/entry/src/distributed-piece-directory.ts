import {findHome, listHomes, type PieceChange} from '@fescuestair/kv';
import {listServing, RecordKind, type MemberRecord} from '@fescuestair/membership';
import {
	callAndValidate, isFindPiecesMessage, isRecordPiecesMessage, isRecordReuseMessage, LinkMessageKind, type LinkCommands, type LinkMessage,
} from '@fescuestair/protocol';
import {type GossipHost} from '@fescuestair/runtime';
import {createPieceDirectory, createReuseTable, type ReuseStatistics} from '@fescuestair/routing';
import {type Links} from '@fescuestair/transport';

export type DistributedPieceDirectoryOptions = {
	/** Name of this entry. */
	readonly name: string;
	readonly availabilityZone: string;
	readonly gossip: GossipHost;
	readonly links: Links;
};

/** Update of the pieces that an upstream holds, sent to the homes of their prompts. */
export type PieceUpdate = {
	readonly upstreamId: string;
	/** Whether the home first discards all that it has recorded about the upstream. */
	readonly isReset: boolean;
	readonly changes: readonly PieceChange[];
};

/**
Directory of the cached pieces that each upstream holds; a piece is the KV cache of about 1,000 prompt tokens. The directory is sharded over the
entries by the hash of a prompt's first piece (its root). The entries that keep the records of a prompt are its homes, at most one for each
availability zone. Records may be stale.
*/
export type DistributedPieceDirectory = {
	/** Resolves to the number of consecutive pieces, counted from the first, that each upstream holds according to the directory. */
	readonly findPieces: (hashes: readonly string[]) => Promise<ReadonlyMap<string, number>>;
	/** Sends a change to the homes of its prompt without waiting; if the message is lost, pieces are recomputed needlessly. */
	readonly publishChange: (upstreamId: string, change: PieceChange) => void;
	/** Sends an update to one home and waits until the home has acknowledged it. */
	readonly sendUpdate: (home: MemberRecord, note: PieceUpdate) => Promise<void>;
	/** Counts one use of a prompt at its home; resolves to `undefined` if the home does not answer. */
	readonly recordUse: (root: string) => Promise<ReuseStatistics | undefined>;
	/** Registers the handlers for messages from other entries. */
	readonly registerCommands: (commands: LinkCommands) => void;
};

const maxPieces = 100_000;
const maxRoots = 20_000;
/** Short, since a look-up delays the first token. */
const findPiecesTimeoutMs = 50;
const updateTimeoutMs = 1000;

/**
Creates this entry's shard of the directory and the client of the other entries' shards.

@example
```
const held = await homes.findPieces(hashes);
held.get('engine-1'); //=> 12
```
*/
export function createDistributedPieceDirectory({name, availabilityZone, gossip, links}: DistributedPieceDirectoryOptions): DistributedPieceDirectory {
	const directory = createPieceDirectory({maxPieces});
	const reuseTable = createReuseTable({maxRoots});
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
				return directory.countHeldPieces(hashes);
			}

			try {
				const reply = await callAndValidate(links, {address: home.address, message: {kind: LinkMessageKind.FindPieces, hashes}, timeoutMs: findPiecesTimeoutMs});

				return reply.kind === 'pieces' ? new Map(reply.held) : new Map();
			} catch {
				// Without the directory the engine recomputes the pieces; the request still succeeds.
				return new Map();
			}
		},
		publishChange(upstreamId, change) {
			if (change.hashes.length === 0) {
				return;
			}

			const update: PieceUpdate = {upstreamId, isReset: false, changes: [change]};

			for (const home of listHomes(listEntries(), change.root)) {
				if (home.id === name) {
					applyUpdate(update);
				} else {
					links.send(home.address, {kind: LinkMessageKind.RecordPieces, ...update} satisfies LinkMessage);
				}
			}
		},
		async sendUpdate(home, update) {
			if (home.id === name) {
				applyUpdate(update);
			} else {
				await links.call(home.address, {kind: LinkMessageKind.RecordPieces, ...update} satisfies LinkMessage, updateTimeoutMs);
			}
		},
		async recordUse(root) {
			const home = findPromptHome(root);

			if (home === undefined || home.id === name) {
				return reuseTable.note(root);
			}

			try {
				const reply = await callAndValidate(links, {address: home.address, message: {kind: LinkMessageKind.RecordReuse, root}, timeoutMs: updateTimeoutMs});

				return reply.kind === 'returns' ? reply : undefined;
			} catch {
				return undefined;
			}
		},
		registerCommands(commands) {
			commands.registerCommand(LinkMessageKind.FindPieces, isFindPiecesMessage, ({hashes, reply}) => {
				reply?.({kind: 'pieces', held: [...directory.countHeldPieces(hashes)]});

				return true;
			});
			commands.registerCommand(LinkMessageKind.RecordPieces, isRecordPiecesMessage, ({reply, ...note}) => {
				applyUpdate(note);
				reply?.({kind: 'noted'});

				return true;
			});
			commands.registerCommand(LinkMessageKind.RecordReuse, isRecordReuseMessage, ({root, reply}) => {
				reply?.({kind: 'returns', ...reuseTable.note(root)});

				return true;
			});
		},
	};
}
