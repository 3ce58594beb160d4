import fs from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import v8 from 'node:v8';
import vm from 'node:vm';
import {createId, createSystemClock} from '@fescuestair/core';
import {createRequestEventStore} from '@fescuestair/fates';
import {admitRequest, createAdmission} from '@fescuestair/limits';
import {RequestEventKind, type RequestEvent} from '@fescuestair/protocol';
import {createPieceDirectory} from '@fescuestair/routing';
import {
	applyCommand, CommandKind, createReplicatedState, encodeClaimKey, type Command,
} from '@fescuestair/state';
import {measurePermitCost} from './permit-cost.js';
import {type Benchmark, type ReportMeasurement} from './report.js';

const clock = createSystemClock();
const collectGarbage = prepareGarbageCollection();
const piecesPerPrompt = 32;
const hashLength = 32;

function prepareGarbageCollection(): () => void {
	v8.setFlagsFromString('--expose-gc');

	return vm.runInNewContext('gc') as () => void;
}

/** Measures the heap that a value takes and the time to build it. */
function measureBuild<Value>(build: () => Value): {readonly bytes: number; readonly ms: number; readonly value: Value} {
	collectGarbage();
	const before = process.memoryUsage().heapUsed;
	const startedMs = clock.readMonotonicMs();
	const value = build();
	const ms = clock.readMonotonicMs() - startedMs;
	collectGarbage();

	return {bytes: process.memoryUsage().heapUsed - before, ms, value};
}

function measureDirectory(pieces: number, report: ReportMeasurement): void {
	const {bytes, ms, value} = measureBuild(() => {
		const directory = createPieceDirectory({maxPieces: pieces});

		for (let prompt = 0; prompt < pieces / piecesPerPrompt; prompt++) {
			const hashes = Array.from({length: piecesPerPrompt}, (_, piece) => `${prompt}/${piece}/`.padEnd(hashLength, 'f'));
			directory.note(`engine-${prompt % 680}`, hashes, true);
		}

		return directory;
	});
	report({bench: `capacity.directory_bytes_per_piece.${pieces}`, value: bytes / value.getSize(), unit: 'B'});
	report({bench: `capacity.directory_note_per_piece.${pieces}`, value: ms / value.getSize() * 1000, unit: 'µs'});
}

function createClaimCommand(claimNumber: number): Command {
	const organisation = `o${claimNumber % 1700}`;

	return {
		kind: CommandKind.Claim, atMs: claimNumber, organisation, key: encodeClaimKey({organisation, service: 'work-orders', key: `order-${claimNumber}`}),
		bodyDigest: 'd'.repeat(64), requestId: createId('r', 0), entryId: 'entry-1', leaseDeadlineMs: 0, keepDeadlineMs: 1e12,
	};
}

function measureClaims(count: number, report: ReportMeasurement): void {
	const {bytes, ms} = measureBuild(() => {
		let state = createReplicatedState();

		for (let claimNumber = 0; claimNumber < count; claimNumber++) {
			const {state: nextState} = applyCommand(state, createClaimCommand(claimNumber));
			state = nextState;
		}

		return state;
	});
	report({bench: `capacity.claim_bytes.${count}`, value: bytes / count, unit: 'B'});
	report({bench: `capacity.claim_apply.${count}`, value: ms / count * 1000, unit: 'µs'});
}

function measureAdmission(organisations: number, report: ReportMeasurement): void {
	const admissionCount = 20_000;
	let admission = createAdmission(1);
	const startedMs = clock.readMonotonicMs();

	for (let admissionIndex = 0; admissionIndex < admissionCount; admissionIndex++) {
		const input = {
			organisation: `o${admissionIndex % organisations}`, requestClass: 'short', limit: {concurrent: 1e6, perSecond: 1e6}, nowMs: admissionIndex,
		};
		const result = admitRequest(admission, input);
		admission = result.admission;
	}

	report({bench: `capacity.admit.${organisations}_organisations`, value: (clock.readMonotonicMs() - startedMs) / admissionCount * 1000, unit: 'µs'});
}

function createRequestEvents(count: number): RequestEvent[] {
	return Array.from({length: count}, (_, index) => ({
		kind: RequestEventKind.AttemptEnded, requestId: createId('r', clock.readWallMs()), atMs: index, attempt: 1, end: 'complete' as never, detail: '', offset: 320,
	}));
}

async function measureRequestEvents(count: number, report: ReportMeasurement): Promise<void> {
	const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'fescuestair-bench-'));
	const store = createRequestEventStore({
		folder, readWallMs: clock.readWallMs, onError(error) {
			throw error as Error;
		},
	});
	const events = createRequestEvents(count);
	const cpuBefore = process.cpuUsage();
	store.append(events);
	await store.close();
	const cpu = process.cpuUsage(cpuBefore);
	const names = await fs.readdir(folder);
	const sizes = await Promise.all(names.map(async name => fs.stat(path.join(folder, name))));
	let bytes = 0;

	for (const {size} of sizes) {
		bytes += size;
	}

	report({bench: `capacity.fate_event_core_time.${count}`, value: (cpu.user + cpu.system) / count, unit: 'µs'});
	report({bench: `capacity.fate_event_bytes.${count}`, value: bytes / count, unit: 'B'});
	await fs.rm(folder, {recursive: true});
}

export const capacityBenchmark: Benchmark = {
	area: 'capacity',
	isDefault: false,
	description: 'growth of memory and processor time with the amount of state, for docs/CAPACITY.md',
	async run(report) {
		for (const pieces of [1000, 10_000, 100_000]) {
			measureDirectory(pieces, report);
		}

		for (const count of [1000, 10_000, 100_000]) {
			measureClaims(count, report);
		}

		for (const organisations of [10, 200, 1700]) {
			measureAdmission(organisations, report);
		}

		for (const count of [1000, 10_000, 50_000]) {
			await measureRequestEvents(count, report);
		}

		await measurePermitCost(report);
	},
};
