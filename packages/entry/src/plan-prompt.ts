import {setTimeout as sleep} from 'node:timers/promises';
import {type MemberRecord} from '@fescuestair/membership';
import {
	FateEventKind, RefusalCode, UpstreamKind, type Candidate, type UpstreamDetails,
} from '@fescuestair/protocol';
import {RequestClass, type PresetItem} from '@fescuestair/state';
import {
	chooseEngine, Priority, type EngineCandidate, type StoreView,
} from '@fescuestair/routing';
import {listEngines, listUsableUpstreams} from './engine-table.js';
import {chooseForSuspect} from './suspects.js';
import {createRefusal, type EntryServices} from './request-context.js';
import {type Plan, type PromptJob} from './prompt-run.js';

const holdPollMs = 50;
const msPerSecond = 1000;
const overloadRetrySeconds = 5;

/** What an attempt of a prompt is planned from. */
export type PlanInput = {
	readonly job: PromptJob;
	/** Identities of the prompt's pieces. */
	readonly hashes: readonly string[];
	readonly excludedIds: ReadonlySet<string>;
	readonly preset: PresetItem;
	readonly fingerprint: string;
	readonly isSuspect: boolean;
};

/**
Plans one attempt. A long prompt that finds all its places taken waits here, where it blocks no short one, behind those
that came before.
*/
export async function planPrompt(services: EntryServices, input: PlanInput): Promise<Plan> {
	const {holdLine} = services;
	const mayTry = input.job.priority === Priority.Short || holdLine.isEmpty();
	const plan = mayTry ? await tryPlan(services, input) : undefined;

	if (plan !== undefined) {
		return plan;
	}

	checkWait(services, input);
	const leave = holdLine.enter(input.job.requestId, input.job.organisation);

	try {
		return await waitForPlace(services, input);
	} finally {
		leave();
	}
}

async function waitForPlace(services: EntryServices, input: PlanInput): Promise<Plan> {
	const {job} = input;

	while (services.clock.readMonotonicMs() < job.deadlineMs && !job.signal.aborted) {
		await sleep(holdPollMs);
		const plan = services.holdLine.isFirst(job.requestId) ? await tryPlan(services, input) : undefined;

		if (plan !== undefined) {
			return plan;
		}
	}

	throw createRefusal(RefusalCode.Overloaded, 'no place for a long prompt came free in time', overloadRetrySeconds);
}

// Refused at once, and not after a wait that cannot end in time. Classes that the preset gives up first wait half as long.
function checkWait({holdLine, clock}: EntryServices, {job, preset}: PlanInput): void {
	const waitMs = holdLine.estimateWaitMs(job.organisation);
	const isGivenUpFirst = preset.refuseFirst.includes(RequestClass.Long);
	const patienceMs = (job.deadlineMs - clock.readMonotonicMs()) / (isGivenUpFirst ? 2 : 1);

	if (waitMs > patienceMs) {
		throw createRefusal(RefusalCode.Overloaded, 'all places for long prompts are taken', Math.ceil(waitMs / msPerSecond));
	}
}

async function tryPlan(services: EntryServices, {job, hashes, excludedIds, preset, fingerprint, isSuspect}: PlanInput): Promise<Plan | undefined> {
	const {gossip, follower, table, clock} = services;
	const query = {membership: gossip.getMembership(), state: follower.getState(), isOpen: services.standings.isOpen};
	const records = listEngines(query, job.model, job.weightVersion).filter(record => !excludedIds.has(record.id));
	const held = await services.homes.findPieces(hashes);
	const stores = listUsableUpstreams(query, details => details.kind === UpstreamKind.Store);
	const bytesPerPiece = readBytesPerPiece(records);
	const {candidates, chosen: cheapest} = chooseEngine({
		plan: {
			tokens: job.promptTokens, pieces: hashes.length, availabilityZone: services.availabilityZone, priority: job.priority, reservedShortShare: preset.reservedShortShare,
		},
		engines: records.map(record => table.createView(record)),
		heldByEngine: held,
		stores: stores.map(store => createStoreView(services, store, held.get(store.id) ?? 0)),
		weights: preset.weights,
		bytesPerPiece,
	});

	const chosen = isSuspect ? await chooseForSuspect(services, {fingerprint, candidates}) : cheapest;

	if (records.length > 0 && chosen === undefined) {
		return undefined;
	}

	if (chosen === undefined) {
		throw createRefusal(RefusalCode.NoUpstream, `no engine serves ${job.model} in weight version ${job.weightVersion} now`, 1);
	}

	checkReachable(chosen, job, clock.readMonotonicMs());
	services.recordFate({
		kind: FateEventKind.Planned,
		requestId: job.requestId,
		atMs: clock.readWallMs(),
		candidates: candidates satisfies readonly Candidate[],
		chosenId: chosen.upstreamId,
		reason: `least cost of ${records.length} under preset ${preset.name}`,
	});
	const [root = ''] = hashes;
	services.homes.notePrompt(chosen.upstreamId, {root, hashes, isHeld: true});
	const store = stores.find(one => one.id === chosen.storeId);
	const heldPieces = held.get(chosen.upstreamId) ?? 0;

	return {
		record: records.find(record => record.id === chosen.upstreamId)!,
		candidates,
		prefillTokens: chosen.recomputedTokens,
		fetch: store === undefined
			? undefined
			: {
				store, root, hashes: hashes.slice(heldPieces, heldPieces + chosen.fetchPieces), bytesPerPiece,
			},
	};
}

// Engines of one model keep pieces of one size.
function readBytesPerPiece(records: readonly MemberRecord[]): number {
	const [first] = records;

	return first === undefined ? 0 : (first.details as UpstreamDetails).kvBytesPerPiece;
}

function createStoreView({budgets}: EntryServices, store: MemberRecord, heldPieces: number): StoreView {
	return {
		id: store.id, heldPieces, freeBytesPerSecond: budgets.getBytesPerSecond(store), queuedBytes: budgets.countQueuedBytes(store),
	};
}

// What cannot meet its deadline is refused on arrival and not after waiting.
function checkReachable(chosen: EngineCandidate, job: PromptJob, nowMs: number): void {
	const firstTokenMs = chosen.queueMs + chosen.fetchMs + chosen.prefillMs;

	if (nowMs + firstTokenMs > job.deadlineMs) {
		throw createRefusal(
			RefusalCode.DeadlineTooShort,
			`the first token would take ${Math.round(firstTokenMs)} ms, past the deadline`,
			Math.ceil(chosen.queueMs / 1000) + 1,
		);
	}
}
