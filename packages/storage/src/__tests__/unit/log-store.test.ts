import fs from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import test from 'ava';
import {
	CorruptFileError, createFileSystem, createLogStore, DiskError, type FileSystem,
} from '../../index.js';

async function makeFolder(): Promise<string> {
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

test('what was synced is loaded again, with truncations applied', async t => {
	const folder = await makeFolder();
	const store = createLogStore({folder});
	await store.load();
	await store.persist([{hardState: {term: 2, votedFor: 'b'}, entries: [1, 2, 3].map(index => ({index, term: 1, payload: index}))}]);
	await store.persist([{truncateFrom: 2, entries: [{index: 2, term: 2, payload: 'new'}]}]);
	await store.close();
	const loaded = await loadFolder(folder);
	t.deepEqual(loaded.hardState, {term: 2, votedFor: 'b'});
	t.deepEqual(loaded.entries.map(entry => entry.payload), [1, 'new']);
});

test('a tail torn at any byte is cut off and said, and earlier entries stay', async t => {
	const folder = await makeFolder();
	await writeEntries(folder, 3);
	const file = path.join(folder, 'log-000000000000');
	const bytes = await fs.readFile(file);
	await writeEntries(folder, 0);
	const whole = await loadFolder(folder);
	t.is(whole.entries.length, 3);
	const lastFrameStart = findLastFrame(bytes);

	for (let size = lastFrameStart + 1; size < bytes.length; size++) {
		await fs.writeFile(file, bytes.subarray(0, size));
		const loaded = await loadFolder(folder);
		t.deepEqual(loaded.entries.map(entry => entry.index), [1, 2]);
		t.is(loaded.findings.length, 1);
	}
});

function findLastFrame(bytes: Uint8Array): number {
	const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
	let offset = 0;
	let last = 0;

	while (offset < bytes.length) {
		last = offset;
		offset += 12 + view.getUint32(offset, true);
	}

	return last;
}

test('a flipped bit anywhere is refused, never served', async t => {
	const folder = await makeFolder();
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

test('a snapshot bounds what is replayed, and a crash between its two files loses nothing', async t => {
	const folder = await makeFolder();
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
	await fs.rm(path.join(folder, 'log-000000000008'));
	await fs.writeFile(path.join(folder, 'log-000000000000'), oldLog);
	const crashed = await loadFolder(folder);
	t.is(crashed.snapshot?.index, 8);
	t.deepEqual(crashed.entries.map(entry => entry.index), [9, 10]);
	t.deepEqual(crashed.hardState, {term: 1, votedFor: 'a'});
});

test('a full disk and a failed sync are said by name', async t => {
	const folder = await makeFolder();
	const fail = (code: string) => async () => {
		throw Object.assign(new Error(code), {code});
	};

	const full = await t.throwsAsync(writeEntries(folder, 1, createFileSystem({write: fail('ENOSPC')})), {instanceOf: DiskError});
	t.is(full.code, 'disk_full');
	const broken = await t.throwsAsync(writeEntries(folder, 1, createFileSystem({sync: fail('EIO')})), {instanceOf: DiskError});
	t.is(broken.code, 'disk_error');
});

test('a file that cannot be read is an error, not an empty log', async t => {
	const folder = await makeFolder();
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
