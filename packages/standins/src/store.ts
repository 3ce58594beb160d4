import {Buffer} from 'node:buffer';
import fs from 'node:fs/promises';
import path from 'node:path';
import {type PieceManifest} from '@fescuestair/kv';
import {createCacheEventLog, type CacheEventLog} from './cache-event-log.js';
import {digestPiece} from './piece-bytes.js';

/** Faults injected into reads, to test that readers detect them. */
export enum ReadFault {
	None = 'none',
	/** The block is freed and overwritten with other data during the read. */
	Overwritten = 'freed',
	/** The end of the data is missing, without a transport error. */
	Truncated = 'torn',
	/** One bit differs. */
	BitFlipped = 'flipped',
}

export type StoreOptions = {
	/** Folder of the disk tier. */
	readonly dataFolder: string;
	readonly maxMemoryPieces: number;
	readonly maxDiskPieces: number;
	readonly fault?: ReadFault;
	/** Generation of the first piece written by this process; higher than those of earlier processes, so that no generation is used twice. */
	readonly firstGeneration: number;
};

type Block = {
	readonly root: string;
	readonly generation: number;
	readonly bytes: Uint8Array;
	/** Undefined until the piece is committed; until then it is not visible to readers. */
	manifest: PieceManifest | undefined;
};

/** A store instance with a memory tier, which evicts to a disk tier when it is full. */
export type Store = {
	/** Writes a piece that is not yet visible. Returns its generation, or `undefined` if the store is full. */
	readonly put: (piece: {readonly hash: string; readonly root: string}, bytes: Uint8Array) => number | undefined;
	/** Makes those written pieces visible whose generation and length match their manifests, and returns the manifests of these. */
	readonly commit: (manifests: readonly PieceManifest[]) => Promise<readonly PieceManifest[]>;
	readonly findManifests: (hashes: readonly string[]) => readonly PieceManifest[];
	readonly read: (hash: string, generation: number) => Promise<Uint8Array | undefined>;
	readonly log: CacheEventLog;
	readonly listPieces: () => ReadonlyArray<{readonly hash: string; readonly root: string}>;
};

const maxEvents = 10_000;

/** Opens a store. Pieces on disk whose digest matches their manifest are visible again. */
export async function openStore(options: StoreOptions): Promise<Store> {
	const {
		dataFolder, maxMemoryPieces, maxDiskPieces, fault = ReadFault.None, firstGeneration,
	} = options;
	const memory = new Map<string, Block>();
	const disk = new Map<string, PieceManifest>();
	const log = createCacheEventLog(maxEvents);
	let nextGeneration = firstGeneration;
	await fs.mkdir(dataFolder, {recursive: true});

	for (const manifest of await loadManifests(dataFolder)) {
		disk.set(manifest.hash, manifest);
		log.note(manifest, true);
	}

	const evictFromDisk = async (hash: string) => {
		const manifest = disk.get(hash)!;
		disk.delete(hash);
		log.note(manifest, false);
		await fs.rm(path.join(dataFolder, `${hash}.manifest`), {force: true});
		await fs.rm(path.join(dataFolder, `${hash}.data`), {force: true});
	};

	// Moves the oldest committed blocks from memory to disk, and evicts the oldest pieces on disk.
	const evictExcessPieces = async () => {
		while (memory.size > maxMemoryPieces) {
			const [hash, block] = [...memory].find(([, candidate]) => candidate.manifest !== undefined) ?? [];

			if (hash === undefined || block?.manifest === undefined) {
				return;
			}

			if (maxDiskPieces > 0) {
				await writePieceFiles(dataFolder, block.manifest, block.bytes);
				disk.set(hash, block.manifest);
			} else {
				log.note(block.manifest, false);
			}

			memory.delete(hash);

			while (disk.size > maxDiskPieces) {
				await evictFromDisk(disk.keys().next().value!);
			}
		}
	};

	const findManifest = (hash: string) => memory.get(hash)?.manifest ?? disk.get(hash);

	return {
		put({hash, root}, bytes) {
			const uncommittedCount = [...memory.values()].filter(block => block.manifest === undefined).length;

			if (uncommittedCount >= maxMemoryPieces) {
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

			await evictExcessPieces();

			return committed;
		},
		findManifests: hashes => hashes.flatMap(hash => findManifest(hash) ?? []),
		async read(hash, generation) {
			if (findManifest(hash)?.generation !== generation) {
				return undefined;
			}

			const block = memory.get(hash);
			const bytes = block?.bytes ?? await fs.readFile(path.join(dataFolder, `${hash}.data`));

			if (fault === ReadFault.Overwritten && block !== undefined) {
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

		case ReadFault.Overwritten: {
			return Buffer.concat([bytes.subarray(0, bytes.length / 2), Buffer.alloc(Math.ceil(bytes.length / 2), 'another')]);
		}

		case ReadFault.Truncated: {
			return bytes.subarray(0, -1);
		}

		case ReadFault.BitFlipped: {
			return Uint8Array.from(bytes, (byte, index) => index === 100 ? byte ^ 1 : byte); // eslint-disable-line no-bitwise
		}
	}
}

// Syncs the data before it writes the manifest, so that a crash in between leaves no manifest without its data.
async function writePieceFiles(dataFolder: string, manifest: PieceManifest, bytes: Uint8Array): Promise<void> {
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
	const manifests: PieceManifest[] = [];

	for (const name of names.filter(fileName => fileName.endsWith('.manifest'))) {
		try {
			const manifest = JSON.parse(await fs.readFile(path.join(dataFolder, name), 'utf8')) as PieceManifest;
			const bytes = await fs.readFile(path.join(dataFolder, `${manifest.hash}.data`));

			if (digestPiece(bytes) === manifest.digest) {
				manifests.push(manifest);
			}
		} catch {
			// Torn by a crash: not visible.
		}
	}

	return manifests;
}
