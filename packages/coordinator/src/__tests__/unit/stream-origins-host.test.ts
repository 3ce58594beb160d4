import {setImmediate as nextTurn} from 'node:timers/promises';
import test from 'ava';
import {type Clock} from '@fescuestair/core';
import {createLinkCommands, LinkMessageKind, type LinkReply} from '@fescuestair/protocol';
import {createLogger} from '@fescuestair/runtime';
import {
	createSegmentStore, createSimulatedDisk, type FileSystem, type SimulatedDisk,
} from '@fescuestair/storage';
import {encodeOriginNote, type OriginNote} from '@fescuestair/streams';
import {createStreamOriginsHost} from '../../stream-origins-host.js';

const hourMs = 3_600_000;
const wallStartMs = 1_700_000_000_000;
const lifetimeMs = 30_000;
const turnCount = 60;

const neverSettles = new Promise<never>(() => {
	// The disk stalls for good.
});

const createFault = (code: string) => Object.assign(new Error(code), {code});

/** Lets all that needs no timer happen. */
async function settle(): Promise<void> {
	for (let turn = 0; turn < turnCount; turn++) {
		await nextTurn();
	}
}

const note = (id: string, version = 'v1', leftMs = lifetimeMs): OriginNote => encodeOriginNote(id, {origin: {service: 'app', softwareVersion: version}, begunAtMs: 0, deadlineMs: leftMs}, 0);

/** Starts the host of a coordinator that has just started at a time of the wall clock. */
function startHost(disk: SimulatedDisk, {wallMs = wallStartMs, overrides = () => ({}), beforeOperation}: {
	readonly wallMs?: number;
	readonly overrides?: (fileSystem: FileSystem) => Partial<FileSystem>;
	readonly beforeOperation?: (operation: keyof FileSystem) => Promise<void>;
} = {}) {
	let nowMs = 500;
	let wallOffsetMs = wallMs - nowMs;
	const clock: Clock = {readMonotonicMs: () => nowMs, readWallMs: () => wallOffsetMs + nowMs};
	const commands = createLinkCommands({onFault: () => undefined});
	const lines: string[] = [];
	const gauges = new Map<string, () => number>();
	let timers: Array<{readonly atMs: number; readonly callback: () => void}> = [];
	const process = disk.startProcess(beforeOperation);
	const counts = {write: 0, sync: 0};
	const fileSystem = {...process.fileSystem, ...overrides(process.fileSystem)};
	const host = createStreamOriginsHost({
		clock,
		commands,
		log: createLogger({
			instance: 'core', isTerminal: false, writeLine(line) {
				lines.push(line);

				return true;
			},
		}),
		metrics: {
			registerGauge(name, _help, read) {
				gauges.set(name, read);
			},
		},
		store: createSegmentStore({
			folder: '/data', clock, onFinding: ({place, message}) => lines.push(`${place}: ${message}`),
			fileSystem: {
				...fileSystem,
				async write(...parameters) {
					counts.write++;
					await fileSystem.write(...parameters);
				},
				async sync(...parameters) {
					counts.sync++;
					await fileSystem.sync(...parameters);
				},
			},
		}),
		delay(callback, delayMs) {
			const timer = {atMs: nowMs + delayMs, callback};
			timers.push(timer);

			return () => {
				timers = timers.filter(other => other !== timer);
			};
		},
	});

	/** Lets time pass in steps, with all that comes due. */
	const pass = async (ms: number) => {
		const endMs = nowMs + ms;

		for (;;) {
			await settle();
			const [next] = timers.toSorted((a, b) => a.atMs - b.atMs);

			if (next === undefined || next.atMs > endMs) {
				break;
			}

			nowMs = Math.max(nowMs, next.atMs);
			timers = timers.filter(timer => timer !== next);
			next.callback();
		}

		nowMs = endMs;
	};

	const find = (streamId: string): LinkReply | undefined => {
		let answer: LinkReply | undefined;
		commands.dispatch({kind: LinkMessageKind.FindStreamOrigin, streamId}, reply => {
			answer = reply;
		});

		return answer;
	};

	return {
		host, pass, find, counts, process,
		record(...origins: readonly OriginNote[]) {
			commands.dispatch({kind: LinkMessageKind.RecordStreamOrigins, origins}, undefined);
		},
		/** The version that began a stream; `unknown` where its records differ. */
		findVersion(streamId: string): string | undefined {
			const answer = find(streamId);
			const [found] = answer?.kind === 'stream_origins' ? answer.origins as readonly OriginNote[] : [];

			return found && (found[2] === '' ? 'unknown' : found[2]);
		},
		countUnsaved: () => gauges.get('stream_origins_unsaved')!(),
		countLines: (text: string) => lines.filter(line => line.includes(text)).length,
		setWallClock(ms: number) {
			wallOffsetMs += ms;
		},
	};
}

test('what gateways recorded is known after the coordinator was killed, and only until the caller no longer waits', async t => {
	const disk = createSimulatedDisk();
	const first = startHost(disk);
	await first.pass(10);
	first.record(note('a', 'v1'), note('b', 'v2'));
	await first.pass(100);
	t.is(first.countUnsaved(), 0);
	first.process.kill();

	const second = startHost(disk, {wallMs: wallStartMs + 20_000});
	await second.pass(10);
	t.deepEqual([second.findVersion('a'), second.findVersion('b'), second.findVersion('c')], ['v1', 'v2', undefined]);
	await second.pass(11_000);
	t.is(second.findVersion('a'), undefined);
	second.process.kill();
	const third = startHost(disk, {wallMs: wallStartMs + 40_000});
	await third.pass(10);
	t.is(third.findVersion('a'), undefined);
});

test('records of a moment share one write and one sync, and a repetition writes nothing', async t => {
	const {pass, record, counts} = startHost(createSimulatedDisk());
	await pass(10);
	record(note('a'));
	await pass(200);
	const before = {...counts};
	record(note('b'));
	record(note('c'), note('d'));
	await pass(200);
	t.deepEqual(counts, {write: before.write + 1, sync: before.sync + 1});
	record(note('b'), note('d'));
	await pass(1000);
	t.deepEqual(counts, {write: before.write + 1, sync: before.sync + 1});
});

test('questions are answered with an error until what the disk holds is known', async t => {
	const disk = createSimulatedDisk();
	const first = startHost(disk);
	await first.pass(10);
	first.record(note('a'));
	await first.pass(100);
	first.process.kill();
	const gate: {open?: () => void} = {};
	const opened = new Promise<void>(resolve => {
		gate.open = resolve;
	});
	const second = startHost(disk, {
		async beforeOperation(operation) {
			if (operation === 'readFile') {
				await opened;
			}
		},
	});
	await second.pass(5000);
	second.record(note('b'));
	t.deepEqual([second.find('a')?.kind, second.find('b')?.kind], ['error', 'error']);
	gate.open!();
	await second.pass(10);
	t.deepEqual([second.findVersion('a'), second.findVersion('b')], ['v1', 'v1']);
});

// Whether the two come to one process, or to two that follow each other.
for (const isRestartedBetween of [false, true]) {
	test(`records that differ make an origin unknown after each further start${isRestartedBetween ? ', also if a start lies between them' : ''}`, async t => {
		const disk = createSimulatedDisk();
		let current = startHost(disk);
		await current.pass(10);
		current.record(note('a', 'v1'));
		await current.pass(200);

		if (isRestartedBetween) {
			current.process.kill();
			current = startHost(disk);
			await current.pass(10);
		}

		current.record(note('a', 'v2'));
		await current.pass(200);

		for (let start = 0; start < 3; start++) {
			current.process.kill();
			current = startHost(disk);
			await current.pass(200);
			t.is(current.findVersion('a'), 'unknown');
		}
	});
}

test('a clock that is set ahead or back between records that differ makes neither known', async t => {
	for (const jumpMs of [hourMs, -hourMs]) {
		const disk = createSimulatedDisk();
		const first = startHost(disk);
		await first.pass(10);
		first.record(note('a', 'v1'), note('sound'));
		await first.pass(200);
		first.setWallClock(jumpMs);
		first.record(note('a', 'v2'));
		await first.pass(200);
		first.process.kill();

		for (const wallMs of [wallStartMs, wallStartMs + hourMs, wallStartMs - hourMs, wallStartMs + 20_000, wallStartMs + 40_000, wallStartMs]) {
			const next = startHost(disk, {wallMs});
			await next.pass(200);
			t.true(['unknown', undefined].includes(next.findVersion('a')), `jump of ${jumpMs} ms, started at ${wallMs - wallStartMs}: ${next.findVersion('a')}`);
			t.true(['v1', undefined].includes(next.findVersion('sound')));
			next.process.kill();
		}
	}
});

// The clock was ahead when the first of the two was written, so that its file outlives that of the second.
test('of two records that differ, neither outlives the other on the disk', async t => {
	const disk = createSimulatedDisk();
	const first = startHost(disk, {wallMs: wallStartMs + hourMs});
	await first.pass(10);
	first.record(note('a', 'v1'));
	await first.pass(11_000);
	first.setWallClock(-hourMs);
	first.record(note('a', 'v2'));
	await first.pass(200);
	first.process.kill();
	const second = startHost(disk, {wallMs: wallStartMs + 20_000});
	await second.pass(200);
	t.is(second.findVersion('a'), 'unknown');
	await second.pass(25_000);
	second.record(note('b'));
	await second.pass(200);
	second.process.kill();
	const third = startHost(disk, {wallMs: wallStartMs + 46_000});
	await third.pass(200);
	t.true(['unknown', undefined].includes(third.findVersion('a')));
});

test('a clock that was set back keeps a record for no longer than its caller waited in all', async t => {
	const disk = createSimulatedDisk();
	const first = startHost(disk);
	await first.pass(10);
	first.record(note('a'));
	await first.pass(200);
	first.process.kill();
	const second = startHost(disk, {wallMs: wallStartMs - hourMs});
	await second.pass(10);
	t.is(second.findVersion('a'), 'v1');
	await second.pass(lifetimeMs);
	t.is(second.findVersion('a'), undefined);
});

for (const [description, code, operation] of [
	['full', 'disk_full', 'write'],
	['failing', 'disk_error', 'sync'],
] as const) {
	test(`while the disk is ${description}, origins are known, what waits is shown, one line is logged, and all is written once it works`, async t => {
		const disk = createSimulatedDisk();
		let isFailing = false;
		const fail = (works: FileSystem[typeof operation]) => async (...parameters: readonly [never, never, never]) => {
			if (isFailing) {
				throw createFault(code === 'disk_full' ? 'ENOSPC' : 'EIO');
			}

			await works(...parameters);
		};

		const first = startHost(disk, {overrides: fileSystem => ({[operation]: fail(fileSystem[operation])})});
		await first.pass(10);
		isFailing = true;

		for (let index = 0; index < 50; index++) {
			first.record(note(`a-${index}`));
			await first.pass(100);
		}

		t.is(first.findVersion('a-0'), 'v1');
		t.is(first.countUnsaved(), 50);
		t.is(first.countLines('not saved for now'), 1);
		isFailing = false;
		await first.pass(1100);
		t.is(first.countUnsaved(), 0);
		t.is(first.countLines('saved again'), 1);
		first.process.kill();
		const second = startHost(disk);
		await second.pass(10);
		t.deepEqual([second.findVersion('a-0'), second.findVersion('a-49')], ['v1', 'v1']);
	});
}

test('a disk that stalls holds one write, is reported once, and takes all that waited once it works', async t => {
	const disk = createSimulatedDisk();
	const gate: {open?: () => void; opened?: Promise<void>} = {};
	let syncing = 0;
	const first = startHost(disk, {
		async beforeOperation(operation) {
			if (operation === 'sync' && gate.opened !== undefined) {
				syncing++;
				await gate.opened;
			}
		},
	});
	await first.pass(10);
	gate.opened = new Promise(resolve => {
		gate.open = resolve;
	});

	for (let index = 0; index < 100; index++) {
		first.record(note(`a-${index}`));
		await first.pass(100);
	}

	t.is(syncing, 1);
	t.is(first.countUnsaved(), 100);
	t.is(first.findVersion('a-99'), 'v1');
	t.is(first.countLines('not saved for now'), 1);
	gate.open!();
	await first.pass(200);
	t.is(first.countUnsaved(), 0);
	t.is(first.countLines('saved again'), 1);
	first.process.kill();
	const second = startHost(disk);
	await second.pass(10);
	t.deepEqual([second.findVersion('a-0'), second.findVersion('a-99')], ['v1', 'v1']);
});

test('a folder that cannot be read does not keep a coordinator from answering, and is read before the next write', async t => {
	const disk = createSimulatedDisk();
	const first = startHost(disk);
	await first.pass(10);
	first.record(note('a'));
	await first.pass(100);
	first.process.kill();
	let isFailing = true;
	const second = startHost(disk, {
		overrides: ({readFolder}) => ({
			async readFolder(folder) {
				if (isFailing) {
					throw createFault('EIO');
				}

				return readFolder(folder);
			},
		}),
	});
	await second.pass(10);
	second.record(note('b'));
	t.deepEqual([second.findVersion('a'), second.findVersion('b')], [undefined, 'v1']);
	isFailing = false;
	await second.pass(2500);
	t.is(second.findVersion('a'), 'v1');
	second.process.kill();
	const third = startHost(disk);
	await third.pass(10);
	t.deepEqual([third.findVersion('a'), third.findVersion('b')], ['v1', 'v1']);
});

test('what waits is bounded by what the table keeps', async t => {
	const {pass, record, countUnsaved} = startHost(createSimulatedDisk(), {
		async beforeOperation(operation) {
			if (operation === 'write') {
				await neverSettles;
			}
		},
	});
	await pass(10);

	for (let batch = 0; batch < 12; batch++) {
		record(...Array.from({length: 10_000}, (_, index) => note(`a-${batch}-${index}`)));
		await pass(100);
	}

	t.true(countUnsaved() <= 103_000);
	t.true(countUnsaved() >= 100_000);
});

test('a loss of power between a write and its sync loses the origins of that batch only', async t => {
	const disk = createSimulatedDisk();
	let isHeld = false;
	const first = startHost(disk, {
		async beforeOperation(operation) {
			if (isHeld && operation === 'sync') {
				await neverSettles;
			}
		},
	});
	await first.pass(10);
	first.record(note('synced'));
	await first.pass(200);
	isHeld = true;
	first.record(note('written'));
	await first.pass(200);
	first.process.kill();
	disk.losePower(() => 0);
	const second = startHost(disk);
	await second.pass(10);
	t.deepEqual([second.findVersion('synced'), second.findVersion('written')], ['v1', undefined]);
});

test('what is left is written at a stop', async t => {
	const disk = createSimulatedDisk();
	const first = startHost(disk);
	await first.pass(10);
	first.record(note('a'));
	await first.host.stop();
	first.process.kill();
	const second = startHost(disk);
	await second.pass(10);
	t.is(second.findVersion('a'), 'v1');
});
