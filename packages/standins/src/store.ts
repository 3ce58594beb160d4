import {Buffer} from 'node:buffer';
import fs from 'node:fs/promises';
import path from 'node:path';
import {type PieceManifest} from '@fescuestair/kv';
import {createCacheLog, type CacheLog} from './cache-log.js';
import {digestPiece} from './piece-bytes.js';

/** What goes wrong while a piece is read, for tests of those who read. */
export enum ReadFault {
	None = 'none',
	/** The block is freed and used for other bytes while it is read. */
	Freed = 'freed',
	/** Only a part arrives, and looks whole. */
	Torn = 'torn',
	/** A bit differs. */
	Flipped = 'flipped',
}

export type StoreOptions = {
	/** Pieces of the disk tier live here. */
	readonly dataFolder: string;
	readonly memoryPieces: number;
	readonly diskPieces: number;
	readonly fault?: ReadFault;
	readonly firstGeneration: number;
};

type Block = {
	readonly root: string;
	readonly generation: number;
	readonly bytes: Uint8Array;
	/** Absent until the manifest is synced: the block is not visible. */
	manifest: PieceManifest | undefined;
};

/** A store instance: a memory tier, and a disk tier below it for what memory has no room for. */
export type Store = {
	/** Returns the generation; `undefined` where the store is full. */
	readonly put: (piece: {readonly hash: string; readonly root: string}, bytes: Uint8Array) => number | undefined;
	/** Makes written pieces visible that are as their manifests say; returns those. */
	readonly commit: (manifests: readonly PieceManifest[]) => Promise<readonly PieceManifest[]>;
	readonly lookUp: (hashes: readonly string[]) => readonly PieceManifest[];
	readonly read: (hash: string, generation: number) => Promise<Uint8Array | undefined>;
	readonly log: CacheLog;
	readonly listPieces: () => ReadonlyArray<{readonly hash: string; readonly root: string}>;
};

const maxEvents = 10_000;

/** Opens a store; what its disk tier holds whole is visible again. */
export async function openStore(options: StoreOptions): Promise<Store> {
	const {
		dataFolder, memoryPieces, diskPieces, fault = ReadFault.None, firstGeneration,
	} = options;
	const memory = new Map<string, Block>();
	const disk = new Map<string, PieceManifest>();
	const log = createCacheLog(maxEvents);
	let nextGeneration = firstGeneration;
	await fs.mkdir(dataFolder, {recursive: true});

	for (const manifest of await loadManifests(dataFolder)) {
		disk.set(manifest.hash, manifest);
		log.note(manifest, true);
	}

	const free = async (hash: string) => {
		const manifest = disk.get(hash)!;
		disk.delete(hash);
		log.note(manifest, false);
		await fs.rm(path.join(dataFolder, `${hash}.manifest`), {force: true});
		await fs.rm(path.join(dataFolder, `${hash}.data`), {force: true});
	};

	// The oldest visible blocks move from memory to disk, the oldest there go.
	const makeRoom = async () => {
		while (memory.size > memoryPieces) {
			const [hash, block] = [...memory].find(([, one]) => one.manifest !== undefined) ?? [];

			if (hash === undefined || block?.manifest === undefined) {
				return;
			}

			if (diskPieces > 0) {
				await writeDisk(dataFolder, block.manifest, block.bytes);
				disk.set(hash, block.manifest);
			} else {
				log.note(block.manifest, false);
			}

			memory.delete(hash);

			while (disk.size > diskPieces) {
				await free(disk.keys().next().value!);
			}
		}
	};

	const getManifest = (hash: string) => memory.get(hash)?.manifest ?? disk.get(hash);

	return {
		put({hash, root}, bytes) {
			const unfinished = [...memory.values()].filter(block => block.manifest === undefined).length;

			if (unfinished >= memoryPieces) {
				return undefined;
			}

			const generation = nextGeneration++;
			memory.set(hash, {
				root, generation, bytes, manifest: undefined,
			});

			return generation;
		},
		async commit(manifests) {
			const committed: PieceManifest[] = [];

			for (const manifest of manifests) {
				const block = memory.get(manifest.hash);

				if (block?.generation === manifest.generation && block.bytes.length === manifest.length) {
					block.manifest = manifest;
					committed.push(manifest);
					log.note(manifest, true);
				}
			}

			await makeRoom();

			return committed;
		},
		lookUp: hashes => hashes.flatMap(hash => getManifest(hash) ?? []),
		async read(hash, generation) {
			if (getManifest(hash)?.generation !== generation) {
				return undefined;
			}

			const block = memory.get(hash);
			const bytes = block?.bytes ?? await fs.readFile(path.join(dataFolder, `${hash}.data`));

			if (fault === ReadFault.Freed && block !== undefined) {
				block.manifest = {...block.manifest!, generation: nextGeneration++};
			}

			return applyFault(bytes, fault);
		},
		log,
		listPieces: () => [...[...memory.values()].flatMap(block => block.manifest ?? []), ...disk.values()],
	};
}

function applyFault(bytes: Uint8Array, fault: ReadFault): Uint8Array {
	switch (fault) {
		case ReadFault.None: {
			return bytes;
		}

		case ReadFault.Freed: {
			return Buffer.concat([bytes.subarray(0, bytes.length / 2), Buffer.alloc(Math.ceil(bytes.length / 2), 'another')]);
		}

		case ReadFault.Torn: {
			return bytes.subarray(0, -1);
		}

		case ReadFault.Flipped: {
			return Uint8Array.from(bytes, (byte, index) => index === 100 ? byte ^ 1 : byte); // eslint-disable-line no-bitwise
		}
	}
}

// Data first, then the synced manifest: a crash in between leaves nothing that looks whole.
async function writeDisk(dataFolder: string, manifest: PieceManifest, bytes: Uint8Array): Promise<void> {
	for (const [suffix, content] of [['data', bytes], ['manifest', JSON.stringify(manifest)]] as const) {
		const file = await fs.open(path.join(dataFolder, `${manifest.hash}.${suffix}`), 'w');

		try {
			await file.writeFile(content);
			await file.sync();
		} finally {
			await file.close();
		}
	}
}

async function loadManifests(dataFolder: string): Promise<readonly PieceManifest[]> {
	const names = await fs.readdir(dataFolder);
	const found: PieceManifest[] = [];

	for (const name of names.filter(one => one.endsWith('.manifest'))) {
		try {
			const manifest = JSON.parse(await fs.readFile(path.join(dataFolder, name), 'utf8')) as PieceManifest;
			const bytes = await fs.readFile(path.join(dataFolder, `${manifest.hash}.data`));

			if (digestPiece(bytes) === manifest.digest) {
				found.push(manifest);
			}
		} catch {
			// Torn by a crash: not visible.
		}
	}

	return found;
}
