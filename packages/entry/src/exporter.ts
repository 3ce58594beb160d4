import {setTimeout as sleep} from 'node:timers/promises';
import {rankByRendezvous} from '@fescuestair/core';
import {exportResponseSchema, manifestsResponseSchema} from '@fescuestair/kv';
import {type MemberRecord} from '@fescuestair/membership';
import {RequestEventKind, UpstreamKind, type UpstreamDetails} from '@fescuestair/protocol';
import {
	estimateReuseProbability, pieceTokens, shouldExport, type ReuseStatistics,
} from '@fescuestair/routing';
import {listUsableUpstreams} from './upstream-load-tracker.js';
import {callKv} from './kv-client.js';
import {type EntryServices} from './request-context.js';

/** A prompt whose pieces an engine has computed. */
export type ExportJob = {
	readonly requestId: string;
	readonly engine: MemberRecord;
	readonly hashes: readonly string[];
};

/** Exports the pieces of computed prompts to stores if the expected reuse is worth the transfer. */
export type Exporter = {
	/** Submits a prompt for export in the background; dropped and counted if too many are pending. */
	readonly submit: (job: ExportJob) => void;
	readonly stop: () => void;
};

type ExporterServices = Pick<EntryServices, 'agent' | 'linkBudgets' | 'clock' | 'follower' | 'gossip' | 'homes' | 'log' | 'metrics' | 'recordRequestEvent'>;

enum ExportResult {
	Done = 'done',
	/** Checked again later: the store's link is busy with fetches that requests wait for, the export is not worth it, or the store is full. */
	Retry = 'later',
}

const maxPendingJobs = 64;
const retryIntervalMs = 500;
const maxAttempts = 40;
const commitTimeoutMs = 2000;
const transferTimeoutMarginMs = 2000;
const timeoutFactor = 4;
const msPerSecond = 1000;
/** Time for which nothing is exported to a store that was full. */
const fullStoreBackoffMs = 5000;

/**
Creates the exporter of an entry.

@example
```
exporter.submit({requestId, engine, hashes});
```
*/
export function createExporter(services: ExporterServices): Exporter {
	const {clock, gossip, follower, homes, linkBudgets, log, metrics} = services;
	const fullUntilMsByStore = new Map<string, number>();
	let jobCount = 0;
	const stopController = new AbortController();

	// All pieces of a prompt go to the same store, so that a single transfer can fetch them.
	const chooseStore = (root: string): MemberRecord | undefined => {
		const stores = listUsableUpstreams({membership: gossip.getMembership(), state: follower.getState()}, details => details.kind === UpstreamKind.Store)
			.filter(store => clock.readMonotonicMs() >= (fullUntilMsByStore.get(store.id) ?? 0));
		const [id] = rankByRendezvous(root, stores.map(store => store.id));

		return stores.find(store => store.id === id);
	};

	const attemptExport = async (job: ExportJob, {returns, isJustComputed}: {returns: ReuseStatistics; isJustComputed: boolean}): Promise<ExportResult> => {
		const store = chooseStore(job.hashes[0]!);

		if (store === undefined) {
			return ExportResult.Done;
		}

		const held = await homes.findPieces(job.hashes);
		const missing = job.hashes.slice(held.get(store.id) ?? 0);

		// Right after the run the engine holds the pieces, even if its cache events have not arrived yet; later it may have evicted them.
		const isHeld = isJustComputed || held.get(job.engine.id) === job.hashes.length;

		if (missing.length === 0 || !isHeld) {
			return ExportResult.Done;
		}

		const {kvBytesPerPiece, prefillTokensPerSecond} = job.engine.details as UpstreamDetails;
		const canTransferNow = shouldExport({
			reuseProbability: estimateReuseProbability(returns.returns, returns.timesSeen),
			missingPieces: missing.length,
			pieceTokens,
			prefillTokensPerSecond,
			bytesPerPiece: kvBytesPerPiece,
			linkBytesPerSecond: linkBudgets.getBytesPerSecond(store),
			queuedBytes: linkBudgets.countQueuedBytes(store),
		});

		if (!canTransferNow) {
			return ExportResult.Retry;
		}

		const isFull = await transferPieces(services, job, {store, missing, bytesPerPiece: kvBytesPerPiece});

		if (isFull) {
			fullUntilMsByStore.set(store.id, clock.readMonotonicMs() + fullStoreBackoffMs);
		}

		return isFull ? ExportResult.Retry : ExportResult.Done;
	};

	const runJob = async (job: ExportJob) => {
		const returns = await homes.recordUse(job.hashes[0]!);

		if (returns === undefined) {
			return;
		}

		for (let attempt = 0; attempt < maxAttempts; attempt++) {
			if (stopController.signal.aborted || await attemptExport(job, {returns, isJustComputed: attempt === 0}) === ExportResult.Done) {
				return;
			}

			await sleep(retryIntervalMs);
		}
	};

	return {
		submit(job) {
			if (job.hashes.length === 0 || stopController.signal.aborted) {
				return;
			}

			if (jobCount >= maxPendingJobs) {
				metrics.count('exports_dropped', {});

				return;
			}

			jobCount++;
			void (async () => {
				try {
					await runJob(job);
				} catch (error) {
					log.info('a prompt could not be exported to a store', {requestId: job.requestId, engineId: job.engine.id}, error);
				} finally {
					jobCount--;
				}
			})();
		},
		stop() {
			stopController.abort();
		},
	};
}

type TransferInput = {
	readonly store: MemberRecord;
	readonly missing: readonly string[];
	readonly bytesPerPiece: number;
};

/** Lets the engine write the pieces to the store, then commits the manifests that make them visible; resolves to whether the store was full. */
async function transferPieces(services: ExporterServices, {requestId, engine, hashes}: ExportJob, {store, missing, bytesPerPiece}: TransferInput): Promise<boolean> {
	const {agent, linkBudgets, clock, homes, recordRequestEvent} = services;
	const bytes = missing.length * bytesPerPiece;
	const {startMs, release} = linkBudgets.reserve(store, bytes);
	await sleep(Math.max(0, startMs - clock.readMonotonicMs()));
	const transferMs = bytes / linkBudgets.getBytesPerSecond(store) * msPerSecond;
	const written = await callKv({agent, address: engine.address, timeoutMs: (timeoutFactor * transferMs) + transferTimeoutMarginMs}, {
		path: '/v1/kv/exports', body: {storeAddress: store.address, hashes: missing}, schema: exportResponseSchema,
	});
	release((missing.length - written.pieces.length) * bytesPerPiece);
	const committed = await callKv({agent, address: store.address, timeoutMs: commitTimeoutMs}, {
		path: '/v1/kv/manifests', body: {pieces: written.pieces}, schema: manifestsResponseSchema,
	});
	const kept = committed.pieces.map(piece => piece.hash);
	homes.publishChange(store.id, {root: hashes[0]!, hashes: hashes.filter(hash => kept.includes(hash)), isHeld: true});
	recordRequestEvent({
		kind: RequestEventKind.Exported, requestId, atMs: clock.readWallMs(), storeId: store.id, wanted: missing.length, kept: kept.length, bytes: written.pieces.length * bytesPerPiece,
	});

	return written.isFull;
}
