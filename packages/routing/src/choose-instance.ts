import {pickByRendezvous} from '@fescuestair/core';
import {estimateOtherRequests, type InstanceLoad} from './instance-load.js';
import {computeWaitMs} from './work-backlog.js';

/** An instance that a request may be sent to. */
export type InstanceOption = {
	readonly id: string;
	readonly availabilityZone: string;
	readonly slots: number;
	readonly load: InstanceLoad;
	/** Share of recent requests that failed, from 0 to 1. */
	readonly failureShare: number;
	/** For how much longer it is slow because it has just started; 0 or absent where it is not. */
	readonly coldLeftMs?: number;
	/** Whether it serves old weights although newer ones were published some time ago; its answers are worth less. */
	readonly isOutdated: boolean;
	/** Prompt tokens that its cache is believed to hold. */
	readonly cachedTokens: number;
	/** Prompt tokens after the cached ones that it can fetch; `fetchMs` is the time that this takes. */
	readonly fetchableTokens: number;
	readonly fetchMs: number;
};

export type PlacementInput = {
	readonly options: readonly InstanceOption[];
	readonly nowMs: number;
	readonly availabilityZone: string;
	/** Undefined for a call of a plain service. */
	readonly prompt: PromptSize | undefined;
};

export type PromptSize = {
	readonly promptTokens: number;
	readonly outputTokens: number;
	/** Cache capacity of one instance. */
	readonly cacheTokens: number;
	readonly prefillTokensPerMs: number;
	/** Identifies the part that is shared with other prompts. All daemons derive the same preferred instance from it. */
	readonly affinityKey: string | undefined;
	readonly sharedTokens: number;
};

export type Placement = {
	readonly id: string;
	/** Expected time to the first streamed piece; for a plain call, to the answer. */
	readonly expectedMs: number;
	/** Part of `expectedMs` before prefill begins. */
	readonly queueMs: number;
	/** Prefill time. */
	readonly workMs: number;
	/** Time until the instance has memory for a large prompt; 0 for others, which use the memory that large prompts leave free. */
	readonly memoryWaitMs: number;
	readonly cost: number;
};

/** Prefill of at least this duration noticeably delays the short prompts behind it. */
const minLongWorkMs = 60;
/** Share of the instances that is reserved for short prompts. With fewer than `minInstancesForReserve` instances none can be spared. */
const reservedInstanceShare = 0.2;
const minInstancesForReserve = 3;
/** Cost of another availability zone: the round trip and the price of traffic between zones. */
const crossZoneCostMs = 3;
/** Factor of the cost of failures, 10 × this × share², so that a failure share of 0.1 costs a tenth of it: a failed request is retried or lost. */
const failureCostMs = 400;
/** Cost of each ms for which an instance is still cold, up to that of a long time: it is slower, the more so the longer it will be. */
const coldCostShare = 0.05;
const maxColdCostMs = 150;
/** Cost of old weights, as the delay that lowers the worth of an answer as much: a fifth of a usual latency target. */
const outdatedWeightsCostMs = 150;
/** Time by which each running request slows a decoding step. */
const stepMsPerRequest = 0.4;
/** Mean service time that is assumed for a plain service until one has been measured. */
const defaultServiceTimeMs = 60;
/**
Share of a shared part that the preferred instance is assumed to hold: other daemons send prompts with it there too, which this daemon does not
see.
*/
const assumedCachedShare = 0.7;
/** Time in which running prompts free an engine's whole memory: prefill and answers of a few long prompts. */
const memoryTurnoverMs = 1500;
/** A prompt that needs more than this share of an engine's memory counts as large. */
const largePromptMemoryShare = 1 / 20;
/** Share of an engine's memory open to large prompts. Without the rest, short prompts would wait for large ones or preempt them. */
const largePromptMemoryLimitShare = 0.8;
/** Assumed time until a running request frees its slot for a waiting one. */
const slotHoldMs = 500;

/**
Chooses the instance with the least expected cost in ms. Prompts go where their shared part is cached, unless the wait there costs more
than computing it again elsewhere; a frequent part thus spreads over several instances before one is overloaded. Plain calls go to the
instance with the fewest waiting requests per slot.

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

/** Estimates waiting time, prefill time and cost of a request at one instance. */
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
			+ Math.min(maxColdCostMs, coldCostShare * (option.coldLeftMs ?? 0))
			+ (option.isOutdated ? outdatedWeightsCostMs : 0)
			+ (option.availabilityZone === availabilityZone ? 0 : crossZoneCostMs),
	};
}

// A long prefill delays every short prompt behind it. The instances with the shortest backlog are reserved for short prompts;
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

// By rendezvous hashing all daemons prefer the same instance for a shared part, without exchanging messages.
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

function estimateMemoryWaitMs({load}: InstanceOption, prompt: PromptSize): number {
	const {promptTokens, outputTokens, cacheTokens} = prompt;
	const held = load.ownHeldTokens + load.peers.heldTokens;
	const overflow = held + promptTokens + outputTokens - (cacheTokens * (isLarge(prompt) ? largePromptMemoryLimitShare : 1));

	// An idle engine accepts a prompt that exceeds the limit by itself: there is nothing to wait for.
	return overflow <= 0 || held === 0 ? 0 : overflow / cacheTokens * memoryTurnoverMs;
}

function estimateCallMs({load, slots}: InstanceOption, nowMs: number): number {
	const serviceTimeMs = load.meanMs ?? defaultServiceTimeMs;
	const total = load.own + estimateOtherRequests(load, nowMs);
	const waiting = Math.max(0, total + 1 - slots);

	// With a free slot a call does not wait; the last term still prefers the instance with the lower load.
	return serviceTimeMs * (1 + (waiting / slots) + (0.2 * total / slots));
}

type FirstPieceInput = {readonly nowMs: number; readonly isPreferred: boolean};

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
