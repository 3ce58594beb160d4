import {setTimeout as sleep} from 'node:timers/promises';
import {
	importResponseSchema, manifestsResponseSchema, filterVerified, type PieceManifest,
} from '@fescuestair/kv';
import {type MemberRecord} from '@fescuestair/membership';
import {RequestEventKind} from '@fescuestair/protocol';
import {type EntryServices} from './request-context.js';
import {callKv} from './kv-client.js';

/** Pieces that an engine imports from a store before it runs a prompt. */
export type FetchPlan = {
	readonly store: MemberRecord;
	/** Hash of the prompt's first piece. */
	readonly root: string;
	/** Hashes in the order of the prompt, starting after the pieces that the engine already holds. */
	readonly hashes: readonly string[];
	readonly bytesPerPiece: number;
};

/** Verified pieces that an engine has imported but uses only in a run that names this import. */
export type PieceImport = {readonly id: string; readonly hashes: readonly string[]};

export type FetchInput = {
	readonly plan: FetchPlan;
	readonly engine: MemberRecord;
	readonly requestId: string;
	readonly attempt: number;
	readonly signal: AbortSignal;
};

const lookUpTimeoutMs = 500;
const transferTimeoutMarginMs = 1000;
/** A transfer is aborted when it takes this many times the expected duration, plus the margin. */
const timeoutFactor = 2;
const msPerSecond = 1000;

/**
Lets an engine import pieces from a store, within this entry's share of the store's bandwidth. After the last byte the pieces are verified against
the store's manifests from before and after the transfer. Returns `undefined` if none may be used; the engine then recomputes them, which is slower
but always correct.
*/
export async function fetchPieces(services: EntryServices, input: FetchInput): Promise<PieceImport | undefined> {
	const {plan, requestId, attempt} = input;
	const {clock, linkBudgets, recordRequestEvent, metrics, log} = services;
	const bytes = plan.hashes.length * plan.bytesPerPiece;
	const {startMs, release} = linkBudgets.reserve(plan.store, bytes);
	let used: readonly string[] = [];
	let detail = '';
	let movedBytes = 0;

	try {
		await sleep(Math.max(0, startMs - clock.readMonotonicMs()), undefined, {signal: input.signal});
		const before = await findManifests(services, input);
		// If the import fails without an answer, all requested bytes count as transferred.
		movedBytes = before.length * plan.bytesPerPiece;
		const received = before.length === 0 ? [] : await requestImport(services, input, before);
		movedBytes = received.length * plan.bytesPerPiece;
		const {hashes, faults} = filterVerified({before, received, after: before.length === 0 ? [] : await findManifests(services, input)});
		used = hashes;
		detail = faults.map(({hash, fault}) => `${hash.slice(0, 8)} ${fault}`).join(', ');
	} catch (error) {
		detail = (error as Error).message;
	}

	if (used.length < plan.hashes.length) {
		release(Math.max(0, bytes - movedBytes));
		reportMissingPieces(services, input, used.length);
		log.info('not all pieces were fetched from the store; the engine recomputes the rest', {
			requestId, storeId: plan.store.id, used: used.length, wanted: plan.hashes.length, detail,
		});
	}

	metrics.count('fetched_pieces', {store: plan.store.id, result: used.length === plan.hashes.length ? 'whole' : 'part'});
	recordRequestEvent({
		kind: RequestEventKind.Fetched, requestId, attempt, atMs: clock.readWallMs(), storeId: plan.store.id, wanted: plan.hashes.length, used: used.length, bytes: movedBytes, detail,
	});

	return used.length === 0 ? undefined : {id: createImportId(input), hashes: used};
}

function createImportId({requestId, attempt}: FetchInput): string {
	return `${requestId}.${attempt}`;
}

// Corrects the directory, so that later prompts do not look for these pieces in the store again.
function reportMissingPieces({homes}: EntryServices, {plan, signal}: FetchInput, used: number): void {
	// After an abort by the caller it is unknown whether the store holds the pieces.
	if (signal.aborted) {
		return;
	}

	homes.publishChange(plan.store.id, {root: plan.root, hashes: plan.hashes.slice(used), isHeld: false});
}

async function findManifests({agent}: EntryServices, {plan, signal}: FetchInput): Promise<readonly PieceManifest[]> {
	const {pieces} = await callKv({
		agent, address: plan.store.address, timeoutMs: lookUpTimeoutMs, signal,
	}, {path: '/v1/kv/lookup', body: {hashes: plan.hashes}, schema: manifestsResponseSchema});
	const byHash = new Map(pieces.map(piece => [piece.hash, piece]));
	const firstMissing = plan.hashes.findIndex(hash => !byHash.has(hash));
	const found = firstMissing === -1 ? plan.hashes : plan.hashes.slice(0, firstMissing);

	return found.map(hash => byHash.get(hash)!);
}

async function requestImport({agent, linkBudgets}: EntryServices, input: FetchInput, before: readonly PieceManifest[]) {
	const {plan, engine, signal} = input;
	const transferMs = before.length * plan.bytesPerPiece / linkBudgets.getBytesPerSecond(plan.store) * msPerSecond;
	const {pieces} = await callKv({
		agent, address: engine.address, timeoutMs: (timeoutFactor * transferMs) + transferTimeoutMarginMs, signal,
	}, {
		path: '/v1/kv/imports',
		body: {importId: createImportId(input), storeAddress: plan.store.address, pieces: before.map(({hash, generation}) => ({hash, generation}))},
		schema: importResponseSchema,
	});

	return pieces;
}
