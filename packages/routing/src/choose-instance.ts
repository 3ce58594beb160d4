import {pickByRendezvous} from '@fescuestair/core';
import {estimateBelievedMs, findStaleInstance, type RevisitInput} from './find-stale-instance.js';
import {
	defaultServiceTimeMs, estimateOtherRequests, estimateSlownessMs, type InstanceLoad,
} from './instance-load.js';
import {pickByLevel, type LevelInput} from './pick-by-level.js';
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
	/** Set where several gateways choose at the same moment; without it the least cost decides. */
	readonly crowd?: LevelInput | undefined;
	/** Set for a call that may go to an instance that has not been asked for some time. */
	readonly revisit?: RevisitInput | undefined;
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
	/** Set for a call that finds out whether an instance that was left out is as slow as it was. */
	readonly isRevisit?: boolean;
};

/** Prefill of at least this duration noticeably delays the short prompts behind it. */
const minLongWorkMs = 60;
/** Share of the instances that is reserved for short prompts. With fewer than `minInstancesForReserve` instances none can be spared. */
const reservedInstanceShare = 0.2;
const minInstancesForReserve = 3;
/** The digits of a draw behind the first ones serve as another draw. */
const independentDraws = 1000;
/** Prefill times that differ by less count as equal: as long as a round trip between availability zones. */
const equalReadMs = 3;
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
/** Weight of the load of a plain instance that has free slots. */
const callLoadWeight = 0.2;
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
instance with the fewest waiting requests per slot, and now and then to one that has not been asked for some time.

@example
```
const placement = chooseInstance({options, nowMs, availabilityZone: 'north', prompt: undefined});
```
*/
export function chooseInstance(input: PlacementInput): Placement | undefined {
	const stale = input.prompt === undefined && input.revisit !== undefined ? findStaleInstance(input.options, {...input.revisit, nowMs: input.nowMs}) : undefined;

	if (stale !== undefined) {
		const load = {...stale.load, meanMs: estimateBelievedMs(stale, input.nowMs)};

		return {...estimatePlacement(input, {...stale, load}), isRevisit: true};
	}

	const preferredId = findPreferredId(input);
	const reservedIds = listReservedIds(input, preferredId);
	const placements: OptionPlacement[] = [];
	let best: OptionPlacement | undefined;

	for (const option of input.options) {
		if (reservedIds.has(option.id)) {
			continue;
		}

		const placement = {option, ...estimatePlacement(input, option, option.id === preferredId)};
		placements.push(placement);

		if (best === undefined || placement.cost < best.cost) {
			best = placement;
		}
	}

	return best === undefined || input.crowd === undefined
		? best
		: chooseInCrowd(input, {
			best, placements, preferredId, crowd: input.crowd,
		});
}

type OptionPlacement = Placement & {readonly option: InstanceOption};
type CrowdInput = {
	readonly best: OptionPlacement; readonly placements: readonly OptionPlacement[]; readonly preferredId: string | undefined; readonly crowd: LevelInput;
};

// Other gateways see much the same costs at this moment. An instance that would read more of the prompt again is none of the equals, so that prompts
// with a shared part go on meeting where it is cached; nor is one that is cold or lacks memory for the prompt, however old the view is.
function chooseInCrowd({prompt}: PlacementInput, {best, placements, preferredId, crowd}: CrowdInput): Placement {
	const computeReadMs = ({option}: OptionPlacement) => prompt === undefined ? 0 : computeUncachedTokens(option, prompt, option.id === preferredId) / prompt.prefillTokensPerMs;
	const maxReadMs = computeReadMs(best) + equalReadMs;

	const isEqual = (placement: OptionPlacement) => computeReadMs(placement) <= maxReadMs && placement.memoryWaitMs <= best.memoryWaitMs
		&& (isCold(best.option) || !isCold(placement.option));

	return pickByLevel(
		placements
			.filter(placement => isEqual(placement))
			.map(placement => Object.assign(placement, {costPerRequest: computeCostPerRequest(placement.option, prompt)})),
		crowd,
	)!;
}

function isCold({coldLeftMs = 0}: InstanceOption): boolean {
	return coldLeftMs > 0;
}

// Of the requests that others send, few are long.
function computeCostPerRequest(option: InstanceOption, prompt: PromptSize | undefined): number {
	return prompt === undefined
		? callLoadWeight * (option.load.meanMs ?? defaultServiceTimeMs) / option.slots
		: Math.min(minLongWorkMs, computeWorkMs(option, prompt)) + stepMsPerRequest;
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
// on the others long prompts wait for each other. Of those that are equally idle, each prompt leaves others free, and not the ones where it is cached.
function listReservedIds({options, prompt, nowMs, crowd}: PlacementInput, preferredId: string | undefined): ReadonlySet<string> {
	if (prompt === undefined || options.length < minInstancesForReserve) {
		return new Set();
	}

	const leastWorkMs = Math.min(...options.map(option => computeWorkMs(option, prompt)));

	if (leastWorkMs < minLongWorkMs) {
		return new Set();
	}

	const count = Math.max(1, Math.round(options.length * reservedInstanceShare));
	const compareWaits = (a: InstanceOption, b: InstanceOption) => computeWaitMs(a.load.work, nowMs) - computeWaitMs(b.load.work, nowMs);
	const computeUncached = (option: InstanceOption) => computeUncachedTokens(option, prompt, option.id === preferredId);
	const ranked = crowd === undefined
		? options.toSorted((a, b) => compareWaits(a, b) || (a.id < b.id ? -1 : 1))
		: sliceFrom(options, (crowd.draw * independentDraws) % 1).toSorted((a, b) => compareWaits(a, b) || computeUncached(b) - computeUncached(a));

	return new Set(ranked.slice(0, count).map(option => option.id));
}

function sliceFrom<Item>(items: readonly Item[], share: number): readonly Item[] {
	const start = Math.floor(items.length * share);

	return [...items.slice(start), ...items.slice(0, start)];
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
	return serviceTimeMs * (1 + (waiting / slots) + (callLoadWeight * total / slots));
}

type FirstPieceInput = {readonly nowMs: number; readonly isPreferred: boolean};

function estimateFirstPieceMs(option: InstanceOption, prompt: PromptSize, {nowMs, isPreferred}: FirstPieceInput): number {
	const {load} = option;
	const others = estimateOtherRequests(load, nowMs);
	const memoryWaitMs = estimateMemoryWaitMs(option, prompt);
	const slotWaitMs = Math.max(0, load.own + others + 1 - option.slots) * slotHoldMs / option.slots;
	const waitMs = Math.max(option.fetchMs, computeWaitMs(load.work, nowMs));

	const readMs = computeUncachedTokens(option, prompt, isPreferred) / prompt.prefillTokensPerMs;

	return waitMs + readMs + estimateSlownessMs(load, {busyMs: waitMs + readMs, nowMs}) + memoryWaitMs + slotWaitMs + (stepMsPerRequest * (load.own + others));
}

function computeUncachedTokens({cachedTokens, fetchableTokens}: InstanceOption, {promptTokens, sharedTokens}: PromptSize, isPreferred: boolean): number {
	const assumedTokens = isPreferred ? sharedTokens * assumedCachedShare : 0;

	return Math.max(0, promptTokens - Math.max(cachedTokens + fetchableTokens, assumedTokens));
}
