import {pickByRendezvous} from '@fescuestair/core';
import {estimateOtherRequests, type InstanceLoad} from './instance-load.js';
import {computeWaitMs} from './work-backlog.js';

/** One instance as a request may go there. */
export type InstanceOption = {
	readonly id: string;
	readonly availabilityZone: string;
	readonly slots: number;
	readonly load: InstanceLoad;
	/** Failures lately, from 0 to 1. */
	readonly failureShare: number;
	/** Still slow after its start, or at work on something that slows it. */
	readonly isCold: boolean;
	/** Its answers are worth less: newer weights were named some time ago. */
	readonly isOutdated: boolean;
	/** Prompt tokens that it is believed to hold already. */
	readonly cachedTokens: number;
	/** Tokens after those that it can fetch, and how long that takes. */
	readonly fetchableTokens: number;
	readonly fetchMs: number;
};

export type PlacementInput = {
	readonly options: readonly InstanceOption[];
	readonly nowMs: number;
	readonly availabilityZone: string;
	/** Absent for a plain call. */
	readonly prompt: PromptSize | undefined;
};

export type PromptSize = {
	readonly promptTokens: number;
	readonly outputTokens: number;
	/** Tokens that one instance holds at most. */
	readonly cacheTokens: number;
	readonly prefillTokensPerMs: number;
	/** Identity of the part that is shared with other prompts; instances prefer the same for all daemons. */
	readonly affinityKey: string | undefined;
	readonly sharedTokens: number;
};

export type Placement = {
	readonly id: string;
	/** Expected time to the first piece, or until a place is free. */
	readonly expectedMs: number;
	/** Of that, the time before it is read. */
	readonly queueMs: number;
	/** Time that reading it takes. */
	readonly workMs: number;
	/** Time until a large prompt finds memory; 0 for short ones, which find it in what large ones leave. */
	readonly memoryWaitMs: number;
	readonly cost: number;
};

/** Reading that lasts longer than this delays short prompts noticeably. */
const minLongWorkMs = 60;
/** Share of the instances that is left to short prompts; where there are fewer than the least, none can be spared. */
const reservedInstanceShare = 0.2;
const minInstancesForReserve = 3;
/** An instance in another availability zone costs its round trip, and a price for bytes between them. */
const crossZoneCostMs = 3;
/** What each failure in ten costs: a request that fails is sent again or lost. */
const failureCostMs = 400;
const coldStartCostMs = 150;
/** What an answer on older weights loses of its worth, as the lateness that would lose as much: a fifth of a usual target. */
const outdatedWeightsCostMs = 150;
/** Slowdown of a step by each further request that runs. */
const stepMsPerRequest = 0.4;
/** Mean time for which a request of a plain service holds its place, where none was measured yet. */
const defaultServiceTimeMs = 60;
/** Share of a shared part that the instance preferred by all daemons is taken to hold without having been seen to. */
const assumedCachedShare = 0.7;
/** Time in which running prompts give all of an engine's memory back: a few long ones, read and answered. */
const memoryTurnoverMs = 1500;
/** A prompt that takes more than this share of an engine's memory is large. */
const largePromptMemoryShare = 1 / 20;
/** Large prompts leave the rest of the memory to short ones, which would have to wait for them, or make them yield. */
const largePromptMemoryLimitShare = 0.8;
/** Time for which a running request holds a place, where another waits for it. */
const slotHoldMs = 500;

/**
Chooses the instance with the least expected cost in ms. Prompts go where their shared part is, unless the wait there costs more than
reading it anew elsewhere: a hot part spreads over several instances before one drowns. Plain calls go where the fewest requests wait
for each place.

@example
```
const placement = chooseInstance({options, nowMs, availabilityZone: 'north', prompt: undefined});
```
*/
export function chooseInstance(input: PlacementInput): Placement | undefined {
	let best: Placement | undefined;
	const preferredId = findPreferredId(input);
	const reservedIds = listReservedIds(input);

	for (const option of input.options) {
		if (reservedIds.has(option.id)) {
			continue;
		}

		const placement = estimatePlacement(input, option, option.id === preferredId);

		if (best === undefined || placement.cost < best.cost) {
			best = placement;
		}
	}

	return best;
}

/** Describes what a request is expected to meet at one instance. */
export function estimatePlacement({prompt, nowMs, availabilityZone}: PlacementInput, option: InstanceOption, isPreferred = false): Placement {
	const expectedMs = prompt === undefined ? estimateCallMs(option, nowMs) : estimateFirstPieceMs(option, prompt, {nowMs, isPreferred});

	return {
		id: option.id,
		expectedMs,
		queueMs: prompt === undefined ? 0 : computeWaitMs(option.load.work, nowMs),
		workMs: prompt === undefined ? 0 : computeWorkMs(option, prompt),
		memoryWaitMs: prompt !== undefined && isLarge(prompt) ? estimateMemoryWaitMs(option, prompt) : 0,
		cost: expectedMs
			+ (option.failureShare * failureCostMs * 10 * option.failureShare)
			+ (option.isCold ? coldStartCostMs : 0)
			+ (option.isOutdated ? outdatedWeightsCostMs : 0)
			+ (option.availabilityZone === availabilityZone ? 0 : crossZoneCostMs),
	};
}

// A prompt that takes long to read delays every short one behind it. Some instances, those that are free first, are left to short ones;
// on the others long prompts wait for each other.
function listReservedIds({options, prompt, nowMs}: PlacementInput): ReadonlySet<string> {
	if (prompt === undefined || options.length < minInstancesForReserve) {
		return new Set();
	}

	const leastWorkMs = Math.min(...options.map(option => computeWorkMs(option, prompt)));

	if (leastWorkMs < minLongWorkMs) {
		return new Set();
	}

	const count = Math.max(1, Math.round(options.length * reservedInstanceShare));
	const ranked = options.toSorted((a, b) => computeWaitMs(a.load.work, nowMs) - computeWaitMs(b.load.work, nowMs) || (a.id < b.id ? -1 : 1));

	return new Set(ranked.slice(0, count).map(option => option.id));
}

// All daemons rank the instances alike for the same shared part, without a message.
function findPreferredId({options, prompt}: PlacementInput): string | undefined {
	if (prompt?.affinityKey === undefined) {
		return undefined;
	}

	return pickByRendezvous(prompt.affinityKey, options.map(option => option.id));
}

function computeWorkMs({cachedTokens, fetchableTokens}: InstanceOption, {promptTokens, prefillTokensPerMs}: PromptSize): number {
	return Math.max(0, promptTokens - cachedTokens - fetchableTokens) / prefillTokensPerMs;
}

function isLarge({promptTokens, outputTokens, cacheTokens}: PromptSize): boolean {
	return promptTokens + outputTokens > cacheTokens * largePromptMemoryShare;
}

// Time until the engine has memory for a prompt.
function estimateMemoryWaitMs({load}: InstanceOption, prompt: PromptSize): number {
	const {promptTokens, outputTokens, cacheTokens} = prompt;
	const held = load.ownHeldTokens + load.peers.heldTokens;
	const overflow = held + promptTokens + outputTokens - (cacheTokens * (isLarge(prompt) ? largePromptMemoryLimitShare : 1));

	// A prompt that is larger than its share alone finds an engine that is empty.
	return overflow <= 0 || held === 0 ? 0 : overflow / cacheTokens * memoryTurnoverMs;
}

function estimateCallMs({load, slots}: InstanceOption, nowMs: number): number {
	const serviceTimeMs = load.meanMs ?? defaultServiceTimeMs;
	const total = load.own + estimateOtherRequests(load, nowMs);
	const waiting = Math.max(0, total + 1 - slots);

	// Below its places a call waits for nobody, yet an emptier instance is the safer one.
	return serviceTimeMs * (1 + (waiting / slots) + (0.2 * total / slots));
}

type FirstPieceInput = {readonly nowMs: number; readonly isPreferred: boolean};

// Time until a prompt's first piece on one instance.
function estimateFirstPieceMs(option: InstanceOption, prompt: PromptSize, {nowMs, isPreferred}: FirstPieceInput): number {
	const {load} = option;
	const assumedTokens = isPreferred ? prompt.sharedTokens * assumedCachedShare : 0;
	const uncachedTokens = Math.max(0, prompt.promptTokens - Math.max(option.cachedTokens + option.fetchableTokens, assumedTokens));
	const others = estimateOtherRequests(load, nowMs);
	const memoryWaitMs = estimateMemoryWaitMs(option, prompt);
	const slotWaitMs = Math.max(0, load.own + others + 1 - option.slots) * slotHoldMs / option.slots;
	const waitMs = Math.max(option.fetchMs, computeWaitMs(load.work, nowMs));

	return waitMs + (uncachedTokens / prompt.prefillTokensPerMs) + memoryWaitMs + slotWaitMs + (stepMsPerRequest * (load.own + others));
}
