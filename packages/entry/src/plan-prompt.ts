import {setTimeout as sleep} from 'node:timers/promises';
import {type MemberRecord} from '@fescuestair/membership';
import {
	RequestEventKind, RefusalCode, UpstreamKind, type RoutingCandidate, type UpstreamDetails,
} from '@fescuestair/protocol';
import {RequestClass, type PresetItem} from '@fescuestair/state';
import {
	chooseEngine, Priority, type EngineCandidate, type StoreView,
} from '@fescuestair/routing';
import {isEngineFor, listUsableUpstreams} from './upstream-load-tracker.js';
import {canContinueAnswer} from './engine-origin.js';
import {checkLimits, listOpenUpstreams} from './upstream-permits.js';
import {chooseEngineForSuspect} from './suspect-prompts.js';
import {createRefusal, type EntryServices} from './request-context.js';
import {type AttemptPlan, type PromptJob} from './prompt-run.js';

const queuePollIntervalMs = 50;
const msPerSecond = 1000;
const overloadRetrySeconds = 5;

/** Input for planning one attempt of a prompt. */
export type PlanPromptInput = {
	readonly job: PromptJob;
	/** Hashes of the prompt's pieces, in order. */
	readonly hashes: readonly string[];
	readonly excludedIds: ReadonlySet<string>;
	readonly preset: PresetItem;
	readonly fingerprint: string;
	readonly isSuspect: boolean;
};

/**
Plans one attempt. A long prompt that finds no free slot waits in this entry's queue behind the prompts already there,
not at an engine, where it would delay short prompts.
*/
export async function planPrompt(services: EntryServices, input: PlanPromptInput): Promise<AttemptPlan> {
	const {longPromptQueue} = services;
	const canPlanNow = input.job.priority === Priority.Short || longPromptQueue.isEmpty();
	const plan = canPlanNow ? await tryPlanAttempt(services, input) : undefined;

	if (plan !== undefined) {
		return plan;
	}

	checkQueueWait(services, input);
	const leaveQueue = longPromptQueue.enter(input.job.requestId, input.job.organisation);

	try {
		return await waitForSlot(services, input);
	} finally {
		leaveQueue();
	}
}

async function waitForSlot(services: EntryServices, input: PlanPromptInput): Promise<AttemptPlan> {
	const {job} = input;

	while (services.clock.readMonotonicMs() < job.deadlineMs && !job.signal.aborted) {
		await sleep(queuePollIntervalMs);
		const plan = services.longPromptQueue.isFirst(job.requestId) ? await tryPlanAttempt(services, input) : undefined;

		if (plan !== undefined) {
			return plan;
		}
	}

	throw createRefusal(RefusalCode.Overloaded, 'no place for a long prompt came free in time', overloadRetrySeconds);
}

// Refuses at once if the expected wait exceeds the time left. If the preset refuses long prompts first under overload, they
// may wait for half of that time only.
function checkQueueWait({longPromptQueue, clock}: EntryServices, {job, preset}: PlanPromptInput): void {
	const expectedWaitMs = longPromptQueue.estimateWaitMs(job.organisation);
	const isRefusedFirst = preset.refuseFirst.includes(RequestClass.Long);
	const maxWaitMs = (job.deadlineMs - clock.readMonotonicMs()) / (isRefusedFirst ? 2 : 1);

	if (expectedWaitMs > maxWaitMs) {
		throw createRefusal(RefusalCode.Overloaded, 'all places for long prompts are taken', Math.ceil(expectedWaitMs / msPerSecond));
	}
}

async function tryPlanAttempt(services: EntryServices, {job, hashes, excludedIds, preset, fingerprint, isSuspect}: PlanPromptInput): Promise<AttemptPlan | undefined> {
	const {gossip, follower, loadTracker, clock} = services;
	const query = {membership: gossip.getMembership(), state: follower.getState(), isOpen: (record: MemberRecord) => services.standings.isAvailable(record)};
	const isEngine = isEngineFor(job.model, job.weightVersion);
	const open = listOpenUpstreams(services, isEngine, job.deadlineMs).filter(record => !excludedIds.has(record.id));
	const records = open.filter(record => canContinueAnswer(record, job));

	if (open.length > 0 && records.length === 0) {
		throw createRefusal(RefusalCode.NoUpstream, 'no engine of the software version that began the answer takes prompts now', 1);
	}

	const held = await services.homes.findPieces(hashes);
	const stores = listUsableUpstreams(query, details => details.kind === UpstreamKind.Store);
	const bytesPerPiece = getBytesPerPiece(records);
	const {candidates, chosen: cheapest} = chooseEngine({
		plan: {
			tokens: job.promptTokens, pieces: hashes.length, availabilityZone: services.availabilityZone, priority: job.priority, reservedShortShare: preset.reservedShortShare,
		},
		engines: records.map(record => loadTracker.createView(record)),
		heldByEngine: held,
		stores: stores.map(store => createStoreView(services, store, held.get(store.id) ?? 0)),
		weights: preset.weights,
		bytesPerPiece,
	});

	const chosen = isSuspect ? await chooseEngineForSuspect(services, {fingerprint, candidates}) : cheapest;

	if (records.length > 0 && chosen === undefined) {
		return undefined;
	}

	if (chosen === undefined) {
		checkLimits(services, isEngine);
		throw createRefusal(RefusalCode.NoUpstream, `no engine serves ${job.model} in weight version ${job.weightVersion} now`, 1);
	}

	checkFirstTokenDeadline(chosen, job, clock.readMonotonicMs());
	services.recordRequestEvent({
		kind: RequestEventKind.Planned,
		requestId: job.requestId,
		atMs: clock.readWallMs(),
		candidates: candidates satisfies readonly RoutingCandidate[],
		chosenId: chosen.upstreamId,
		reason: `least cost of ${records.length} under preset ${preset.name}`,
	});
	const [root = ''] = hashes;
	// Published when the attempt is planned, so the directory may list pieces that the engine has yet to compute.
	services.homes.publishChange(chosen.upstreamId, {root, hashes, isHeld: true});
	const store = stores.find(one => one.id === chosen.storeId);
	const heldPieces = held.get(chosen.upstreamId) ?? 0;

	return {
		record: records.find(record => record.id === chosen.upstreamId)!,
		candidates,
		prefillTokens: chosen.recomputedTokens,
		fetchPlan: store === undefined
			? undefined
			: {
				store, root, hashes: hashes.slice(heldPieces, heldPieces + chosen.fetchPieces), bytesPerPiece,
			},
	};
}

// All engines of a model use the same piece size.
function getBytesPerPiece(records: readonly MemberRecord[]): number {
	const [first] = records;

	return first === undefined ? 0 : (first.details as UpstreamDetails).kvBytesPerPiece;
}

function createStoreView({linkBudgets}: EntryServices, store: MemberRecord, heldPieces: number): StoreView {
	return {
		id: store.id, heldPieces, freeBytesPerSecond: linkBudgets.getBytesPerSecond(store), queuedBytes: linkBudgets.countQueuedBytes(store),
	};
}

// A prompt that cannot meet its deadline is refused while it is planned, not after it has waited.
function checkFirstTokenDeadline(chosen: EngineCandidate, job: PromptJob, nowMs: number): void {
	const firstTokenMs = chosen.queueMs + chosen.fetchMs + chosen.prefillMs;

	if (nowMs + firstTokenMs > job.deadlineMs) {
		throw createRefusal(
			RefusalCode.DeadlineTooShort,
			`the first token would take ${Math.round(firstTokenMs)} ms, past the deadline`,
			Math.ceil(chosen.queueMs / 1000) + 1,
		);
	}
}
