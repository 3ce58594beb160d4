import fs from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import test from 'ava';
import {
	CorruptFileError, createFileSystem, createLogStore, DiskError, type FileSystem,
} from '../../index.js';

async function createTemporaryFolder(): Promise<string> {
	return fs.mkdtemp(path.join(os.tmpdir(), 'fescuestair-storage-'));
}

async function writeEntries(folder: string, count: number, fileSystem?: FileSystem): Promise<void> {
	const store = createLogStore({folder, fileSystem});

	try {
		await store.load();
		await store.persist([{hardState: {term: 1, votedFor: 'a'}}]);

		for (let index = 1; index <= count; index++) {
			await store.persist([{entries: [{index, term: 1, payload: `value ${index}`}]}]);
		}
	} finally {
		await store.close();
	}
}

async function loadFolder(folder: string) {
	const store = createLogStore({folder});
	const loaded = await store.load();
	await store.close();

	return loaded;
}

test('synced batches are loaded again, with truncations applied', async t => {
	const folder = await createTemporaryFolder();
	const store = createLogStore({folder});
	await store.load();
	await store.persist([{hardState: {term: 2, votedFor: 'b'}, entries: [1, 2, 3].map(index => ({index, term: 1, payload: index}))}]);
	await store.persist([{truncateFrom: 2, entries: [{index: 2, term: 2, payload: 'new'}]}]);
	await store.close();
	const loaded = await loadFolder(folder);
	t.deepEqual(loaded.hardState, {term: 2, votedFor: 'b'});
	t.deepEqual(loaded.entries.map(entry => entry.payload), [1, 'new']);
});

test('a tail torn at any byte is removed and reported as a finding, and earlier entries stay', async t => {
	const folder = await createTemporaryFolder();
	await writeEntries(folder, 3);
	const file = path.join(folder, 'log-000000000000');
	const bytes = await fs.readFile(file);
	await writeEntries(folder, 0);
	const intact = await loadFolder(folder);
	t.is(intact.entries.length, 3);
	const lastFrameStart = findLastFrameStart(bytes);

	for (let size = lastFrameStart + 1; size < bytes.length; size++) {
		await fs.writeFile(file, bytes.subarray(0, size));
		const loaded = await loadFolder(folder);
		t.deepEqual(loaded.entries.map(entry => entry.index), [1, 2]);
		t.is(loaded.findings.length, 1);
	}
});

function findLastFrameStart(bytes: Uint8Array): number {
	const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
	let offset = 0;
	let last = 0;

	while (offset < bytes.length) {
		last = offset;
		offset += 12 + view.getUint32(offset, true);
	}

	return last;
}

test('a flipped bit anywhere in the log makes loading fail with CorruptFileError', async t => {
	const folder = await createTemporaryFolder();
	await writeEntries(folder, 2);
	const file = path.join(folder, 'log-000000000000');
	const bytes = await fs.readFile(file);

	for (let bit = 0; bit < bytes.length * 8; bit++) {
		const copy = Uint8Array.from(bytes);
		copy[Math.floor(bit / 8)]! ^= 2 ** (bit % 8); // eslint-disable-line no-bitwise
		await fs.writeFile(file, copy);
		await t.throwsAsync(loadFolder(folder), {instanceOf: CorruptFileError}, `bit ${bit}`);
	}
});

test('only entries after the snapshot are loaded, and a crash between the writes of snapshot and log loses nothing', async t => {
	const folder = await createTemporaryFolder();
	await writeEntries(folder, 10);
	const store = createLogStore({folder});
	const {hardState, entries} = await store.load();
	const oldLog = await fs.readFile(path.join(folder, 'log-000000000000'));
	await store.saveSnapshot({index: 8, term: 1, data: {sum: 36}}, hardState, entries.slice(8));
	await store.persist([{entries: [{index: 11, term: 1, payload: 'after'}]}]);
	await store.close();
	const loaded = await loadFolder(folder);
	t.is(loaded.snapshot?.index, 8);
	t.deepEqual(loaded.entries.map(entry => entry.index), [9, 10, 11]);
	// The crash: the new snapshot is there, the new log is not, the old log still is.
	await fs.rm(path.join(folder, 'log-000000000008'));
	await fs.writeFile(path.join(folder, 'log-000000000000'), oldLog);
	const loadedAfterCrash = await loadFolder(folder);
	t.is(loadedAfterCrash.snapshot?.index, 8);
	t.deepEqual(loadedAfterCrash.entries.map(entry => entry.index), [9, 10]);
	t.deepEqual(loadedAfterCrash.hardState, {term: 1, votedFor: 'a'});
});

test('a full disk and a failed sync throw DiskError with different codes', async t => {
	const folder = await createTemporaryFolder();
	const createFailing = (code: string) => async () => {
		throw Object.assign(new Error(code), {code});
	};

	const full = await t.throwsAsync(writeEntries(folder, 1, createFileSystem({write: createFailing('ENOSPC')})), {instanceOf: DiskError});
	t.is(full.code, 'disk_full');
	const failedSync = await t.throwsAsync(writeEntries(folder, 1, createFileSystem({sync: createFailing('EIO')})), {instanceOf: DiskError});
	t.is(failedSync.code, 'disk_error');
});

test('a log file that cannot be read makes loading fail instead of counting as an empty log', async t => {
	const folder = await createTemporaryFolder();
	await writeEntries(folder, 1);
	const store = createLogStore({
		folder,
		fileSystem: createFileSystem({
			async readFile() {
				throw Object.assign(new Error('EIO'), {code: 'EIO'});
			},
		}),
	});
	await t.throwsAsync(store.load(), {instanceOf: DiskError});
	await store.close();
});
