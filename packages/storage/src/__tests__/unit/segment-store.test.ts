import test from 'ava';
import fc from 'fast-check';
import {createManualClock, type Finding} from '@fescuestair/core';
import {
	createSegmentStore, createSimulatedDisk, type DiskError, type FileSystem, type SegmentStoreOptions, type SimulatedDisk,
} from '../../index.js';

const runCount = 300;
const seed = 20_261_206;
const folder = '/data';

type Value = {readonly name: string; readonly deadlineMs: number};

const getDeadlineMs = (value: unknown) => (value as Value).deadlineMs;
const listNames = (values: readonly unknown[]) => values.map(value => (value as Value).name);

/** Opens a store on a disk, as a process that has just started does. */
function openStore(disk: SimulatedDisk, {overrides = () => ({}), ...options}: Partial<Omit<SegmentStoreOptions, 'fileSystem'>> & {
	readonly overrides?: (fileSystem: FileSystem) => Partial<FileSystem>;
} = {}) {
	const clock = createManualClock(0);
	const findings: Finding[] = [];
	const process = disk.startProcess();
	const store = createSegmentStore({
		folder, clock, fileSystem: {...process.fileSystem, ...overrides(process.fileSystem)},
		onFinding(finding) {
			findings.push(finding);
		},
		...options,
	});

	return {
		clock, findings, process, store, async countFiles(suffix = '') {
			const names = await process.fileSystem.readFolder(folder);

			return names.filter(name => name.endsWith(suffix)).length;
		},
		append: async (name: string, deadlineMs = 10_000) => store.append({name, deadlineMs}, deadlineMs),
	};
}

const createFault = (code: string) => Object.assign(new Error(code), {code});

test('what was appended is loaded by the next process, in its order', async t => {
	const disk = createSimulatedDisk();
	const first = openStore(disk, {maxSegmentBytes: 60});
	t.deepEqual(await first.store.load(getDeadlineMs), []);

	for (const name of ['a', 'b', 'c']) {
		await first.append(name);
	}

	first.process.kill();
	const second = openStore(disk, {maxSegmentBytes: 60});
	t.deepEqual(listNames(await second.store.load(getDeadlineMs)), ['a', 'b', 'c']);
	t.is(second.store.countBytes(), first.store.countBytes());
	await second.append('d');
	second.process.kill();
	t.deepEqual(listNames(await openStore(disk).store.load(getDeadlineMs)), ['a', 'b', 'c', 'd']);
});

test('a segment is removed once all of its values have expired, also one of a process before', async t => {
	const disk = createSimulatedDisk();
	const first = openStore(disk, {maxSegmentBytes: 90});
	await first.store.load(getDeadlineMs);
	await first.append('short', 1000);
	await first.append('long', 5000);
	await first.append('other', 2000);
	t.is(await first.countFiles(), 2);
	first.clock.advance(2000);
	await first.append('later', 9000);
	t.is(await first.countFiles(), 2);
	first.process.kill();

	const second = openStore(disk);
	second.clock.advance(5000);
	t.deepEqual(listNames(await second.store.load(getDeadlineMs)), ['short', 'long', 'other', 'later']);
	await second.append('last', 9000);
	t.is(await second.countFiles(), 2);
	second.clock.advance(4000);
	await second.append('end', 20_000);
	t.deepEqual(listNames(await openStore(disk).store.load(getDeadlineMs)), ['last', 'end']);
});

test('a segment ends with its time, so that few values do not keep it for long', async t => {
	const {store, append, clock, countFiles} = openStore(createSimulatedDisk(), {maxSegmentAgeMs: 1000});
	await store.load(getDeadlineMs);

	for (let index = 0; index < 20; index++) {
		await append(`value-${index}`, clock.readMonotonicMs() + 1500);
		clock.advance(500);
	}

	t.true(await countFiles() <= 3);
});

test('the oldest segments give way where the bytes are used up', async t => {
	const disk = createSimulatedDisk();
	const {store, append, process} = openStore(disk, {maxBytes: 400, maxSegmentBytes: 100});
	await store.load(getDeadlineMs);

	for (let index = 0; index < 40; index++) {
		await append(`value-${index}`, 1e9);
		t.true(store.countBytes() <= 400);
	}

	process.kill();
	const names = listNames(await openStore(disk).store.load(getDeadlineMs));
	t.is(names.at(-1), 'value-39');
	t.true(names.length >= 4);
	t.false(names.includes('value-0'));
});

test('what was synced is loaded after a loss of power, whatever became of the write under way', async t => {
	await t.notThrowsAsync(fc.assert(fc.asyncProperty(fc.integer({min: 1, max: 60}), fc.infiniteStream(fc.double({min: 0, max: 0.999, noNaN: true})), async (killAt, randoms) => {
		const disk = createSimulatedDisk();
		const synced: string[] = [];
		let operationCount = 0;
		await new Promise<void>(resolve => {
			const process = disk.startProcess(async () => {
				operationCount++;

				if (operationCount === killAt) {
					process.kill();
					resolve();
				}
			});
			void (async () => {
				const store = createSegmentStore({
					folder, clock: createManualClock(0), fileSystem: process.fileSystem, maxSegmentBytes: 300, onFinding: () => undefined,
				});
				await store.load(getDeadlineMs);

				for (let index = 0; ; index++) {
					await store.append({name: `value-${index}`, deadlineMs: 1e9, filling: 'x'.repeat(80)}, 1e9);
					synced.push(`value-${index}`);
				}
			})();
		});
		disk.losePower(() => randoms.next().value as number);
		const {store, append} = openStore(disk);
		const names = listNames(await store.load(getDeadlineMs));

		if (synced.some((name, index) => names[index] !== name) || names.length > synced.length + 1) {
			throw new Error(`synced ${synced.join(', ')}; loaded ${names.join(', ')}`);
		}

		await append('after');
		const namesAfter = listNames(await openStore(disk).store.load(getDeadlineMs));

		if (namesAfter.join(' ') !== [...names, 'after'].join(' ')) {
			throw new Error(`loaded ${names.join(', ')}; after an append ${namesAfter.join(', ')}`);
		}
	}), {numRuns: runCount, seed}));
});

for (const [description, damage] of [
	['torn', (bytes: Uint8Array) => bytes.slice(0, -3)],
	['damaged', (bytes: Uint8Array) => bytes.map((byte, index) => index === bytes.length - 3 ? 255 - byte : byte)],
] as const) {
	test(`a ${description} tail is left out and reported, and what comes before and after it is loaded`, async t => {
		const disk = createSimulatedDisk();
		const first = openStore(disk);
		await first.store.load(getDeadlineMs);
		await first.append('a');
		await first.append('b');
		first.process.kill();
		const second = openStore(disk, {
			overrides: fileSystem => ({
				async readFile(path) {
					const bytes = await fileSystem.readFile(path);

					return path.endsWith('1') ? damage(bytes) : bytes;
				},
			}),
		});
		t.deepEqual(listNames(await second.store.load(getDeadlineMs)), ['a']);
		t.is(second.findings.length, 1);
		await second.append('c');
		t.deepEqual(listNames(await second.store.load(getDeadlineMs)), ['a', 'c']);
	});
}

test('a file that cannot be read is set aside, and the others are loaded', async t => {
	const disk = createSimulatedDisk();
	const first = openStore(disk, {maxSegmentBytes: 1});

	await first.store.load(getDeadlineMs);

	for (const name of ['a', 'b', 'c']) {
		await first.append(name);
	}

	first.process.kill();
	const openUnreadable = (number: number) => openStore(disk, {
		overrides: fileSystem => ({
			async readFile(path) {
				if (path.endsWith(String(number))) {
					throw createFault('EIO');
				}

				return fileSystem.readFile(path);
			},
		}),
	});
	const second = openUnreadable(2);
	t.deepEqual(listNames(await second.store.load(getDeadlineMs)), ['a', 'c']);
	t.is(second.findings.length, 1);
	await second.append('d');
	const third = openUnreadable(1);
	t.deepEqual(listNames(await third.store.load(getDeadlineMs)), ['c', 'd']);
	await openStore(disk).store.load(getDeadlineMs);
	t.is(await third.countFiles('.unreadable'), 1);
});

for (const [description, code, override] of [
	['a disk that becomes full within a write', 'disk_full', ({write}: FileSystem): Partial<FileSystem> => ({
		async write(handle, bytes, position) {
			await write(handle, bytes.subarray(0, bytes.length / 2), position);

			throw createFault('ENOSPC');
		},
	})],
	['a failing sync', 'disk_error', (_fileSystem: FileSystem): Partial<FileSystem> => ({
		async sync() {
			throw createFault('EIO');
		},
	})],
	['a failing open', 'disk_error', (_fileSystem: FileSystem): Partial<FileSystem> => ({
		async open() {
			throw createFault('EROFS');
		},
	})],
] as const) {
	for (const maxSegmentBytes of [1, 1000]) {
		test(`${description} fails an append, and a later one succeeds once the disk works, with segments of ${maxSegmentBytes} bytes`, async t => {
			const disk = createSimulatedDisk();
			let isFailing = false;
			const {store, append, process, countFiles} = openStore(disk, {
				maxSegmentBytes,
				overrides: fileSystem => Object.fromEntries(Object.entries(override(fileSystem)).map(([operation, fail]) => [operation, async (...parameters: never[]) =>
					(isFailing ? fail : fileSystem[operation as keyof FileSystem])(...parameters as [never, never, never])])),
			});
			await store.load(getDeadlineMs);
			await append('a');
			isFailing = true;
			// An open segment needs no opening.
			const isNoticed = !('open' in override(process.fileSystem)) || maxSegmentBytes === 1;

			const codes: unknown[] = [];

			for (let attempt = 0; attempt < 5; attempt++) {
				try {
					await append(isNoticed ? 'b' : 'a');
				} catch (error) {
					codes.push((error as DiskError).code);
				}
			}

			t.deepEqual(codes, Array.from({length: isNoticed ? 5 : 0}, () => code));
			isFailing = false;
			await append('c');
			t.true(await countFiles() <= 3);
			process.kill();
			const names = listNames(await openStore(disk).store.load(getDeadlineMs));
			t.deepEqual([...new Set(names)], ['a', 'c']);
		});
	}
}

// After a failed sync, the system may take the written pages for clean: a later sync of the same file succeeds and stores nothing.
test('what is appended after a failed sync is on the disk', async t => {
	const disk = createSimulatedDisk();
	let isFailing = false;
	const failed = new WeakSet();
	const {store, append, process} = openStore(disk, {
		overrides: ({sync}) => ({
			async sync(handle) {
				if (isFailing) {
					failed.add(handle);

					throw createFault('EIO');
				}

				if (!failed.has(handle)) {
					await sync(handle);
				}
			},
		}),
	});
	await store.load(getDeadlineMs);
	await append('a');
	isFailing = true;
	await t.throwsAsync(append('b'));
	isFailing = false;
	await append('c');
	process.kill();
	disk.losePower(() => 0);
	const names = listNames(await openStore(disk).store.load(getDeadlineMs));
	t.deepEqual([names[0], names.at(-1)], ['a', 'c']);
});

test('the name of a new segment is synced before an append to it resolves', async t => {
	const folderHandles = new WeakSet();
	let folderSyncs = 0;
	const {store, append} = openStore(createSimulatedDisk(), {
		overrides: ({open, sync}) => ({
			async open(path, flags) {
				const handle = await open(path, flags);

				if (path === folder) {
					folderHandles.add(handle);
				}

				return handle;
			},
			async sync(handle) {
				folderSyncs += folderHandles.has(handle) ? 1 : 0;
				await sync(handle);
			},
		}),
	});
	await store.load(getDeadlineMs);

	for (const name of ['a', 'b']) {
		await append(name);
		t.is(folderSyncs, 1);
	}
});

test('a folder that cannot be read fails the load, and a later one succeeds', async t => {
	const disk = createSimulatedDisk();
	const first = openStore(disk);
	await first.store.load(getDeadlineMs);
	await first.append('a');
	let isFailing = true;
	const {store} = openStore(disk, {
		overrides: fileSystem => ({
			async readFolder(path) {
				if (isFailing) {
					throw createFault('EIO');
				}

				return fileSystem.readFolder(path);
			},
		}),
	});
	await t.throwsAsync(store.load(getDeadlineMs), {code: 'disk_error'});
	isFailing = false;
	t.deepEqual(listNames(await store.load(getDeadlineMs)), ['a']);
});
