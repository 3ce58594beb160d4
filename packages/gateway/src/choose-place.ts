import {
	computeWaitMs, type InstanceOption, type Placement, type PromptPart, type PromptSize,
} from '@fescuestair/routing';
import {
	chooseStore, computeFetchUntil, findPlaces, formatSalt, type PartPlace,
} from '@fescuestair/parts';
import {type Service} from '@fescuestair/traffic';
import {type CacheOrder, type PromptDescription} from './codecs.js';
import {describeOption, planOptionPrompt, type OptionPrompt} from './describe-option.js';
import {type Exchange} from './exchange.js';
import {type ForwardOptions, type Progress} from './forward-options.js';
import {type InstanceEntry} from './instance-entry.js';
import {WeightsUse} from './named-weights.js';

/** An instance chosen for a request. */
export type Place = {
	readonly entry: InstanceEntry;
	readonly placement: Placement;
	readonly cache: CacheOrder | undefined;
	readonly uncachedTokens: number;
};

/** Chooses the instance for a request among those that were not tried; `undefined` where none takes requests now. */
export function choosePlace(options: ForwardOptions, exchange: Exchange, {service, progress}: {readonly service: Service; readonly progress: Progress}): Place | undefined {
	const {prompt} = exchange.caller;
	const open = options.book.listOpen(service.name).filter(entry => !progress.triedIds.has(entry.held.record.id));

	return service.engine === undefined || prompt === undefined
		? choosePlainPlace(options, open)
		: chooseEnginePlace(options, exchange, {service, open, prompt});
}

function choosePlainPlace({book, clock, availabilityZone, chooseInstance}: ForwardOptions, open: readonly InstanceEntry[]): Place | undefined {
	const nowMs = clock.readMonotonicMs();
	const placement = chooseInstance({
		options: open.map(entry => describeOption(entry, {nowMs, prompt: undefined, isOutdated: false})), nowMs, availabilityZone, prompt: undefined,
	});

	return placement && {
		entry: book.get(placement.id)!, placement, cache: undefined, uncachedTokens: 0,
	};
}

type EngineCandidates = {readonly open: readonly InstanceEntry[]; readonly service: Service; readonly prompt: PromptDescription};

/** What is the same for all engines on one version of the weights. */
type VersionPlan = {
	readonly isBarred: boolean;
	readonly isOutdated: boolean;
	readonly cache: CacheOrder | undefined;
	readonly prompt: OptionPrompt | undefined;
};

function chooseEnginePlace(options: ForwardOptions, exchange: Exchange, {service, open, prompt}: EngineCandidates): Place | undefined {
	const {clock, book, availabilityZone, chooseInstance} = options;
	const nowMs = clock.readMonotonicMs();
	const prefillTokensPerMs = book.getPrefillTokensPerMs(service.name);
	const plans = new Map<number | undefined, VersionPlan>();
	const candidates: InstanceOption[] = [];

	const getPlan = (version: number | undefined) => {
		const plan = plans.get(version) ?? planVersion(options, exchange, {service, version});
		plans.set(version, plan);

		return plan;
	};

	for (const entry of open) {
		const version = findVersion(entry, prompt.model);
		const plan = getPlan(version);

		if (!plan.isBarred && !(plan.isOutdated && isStartTooLate(options, entry, {model: prompt.model, version, nowMs}))) {
			candidates.push(describeOption(entry, {nowMs, prompt: plan.prompt, isOutdated: plan.isOutdated}));
		}
	}

	const placement = chooseInstance({
		options: candidates, nowMs, availabilityZone, prompt: describePrompt(exchange, {service, prefillTokensPerMs}),
	});

	if (placement === undefined) {
		return undefined;
	}

	const entry = book.get(placement.id)!;
	const {cachedTokens, fetchableTokens} = candidates.find(option => option.id === placement.id)!;

	return {
		entry, placement, cache: getPlan(findVersion(entry, prompt.model)).cache, uncachedTokens: Math.max(0, prompt.promptTokens - cachedTokens - fetchableTokens),
	};
}

/** A queue may take longer than was expected when the request joined it: in bursts it does. */
const startFactor = 2;

// Whether a request that is sent now may begin after the weights of the instance are barred.
function isStartTooLate({judgeWeights}: ForwardOptions, {load}: InstanceEntry, {model, version, nowMs}: {
	readonly model: string; readonly version: number | undefined; readonly nowMs: number;
}): boolean {
	const startMs = startFactor * Math.max(computeWaitMs(load.work, nowMs), load.meanMs ?? 0);

	return judgeWeights(model, version, startMs) === WeightsUse.Barred;
}

function planVersion(options: ForwardOptions, exchange: Exchange, {service, version}: {readonly service: Service; readonly version: number | undefined}): VersionPlan {
	const {model, parts} = exchange.caller.prompt!;
	const use = options.judgeWeights(model, version);
	const cache = version === undefined || use === WeightsUse.Barred ? undefined : createCacheOrder(options, exchange, version);

	return {
		isBarred: use === WeightsUse.Barred,
		isOutdated: use === WeightsUse.Late,
		cache,
		prompt: cache && planOptionPrompt({
			parts, salt: cache.salt, fetchFrom: cache.fetchFrom, stores: options.getTable().stores, engine: service.engine!,
		}),
	};
}

function findVersion(entry: InstanceEntry, model: string): number | undefined {
	return entry.held.record.models.find(one => one.name === model)?.version;
}

// The salt is the wall: an isolated organisation shares with nobody, and no version of the weights with another.
function createCacheOrder(options: ForwardOptions, {organisation, caller}: Exchange, weightVersion: number): CacheOrder {
	const {model, parts} = caller.prompt!;
	const salt = formatSalt({isolatedOrganisation: organisation?.isIsolated === true ? organisation.name : undefined, model, weightVersion});
	const view = options.parts.getView();
	const fetchUntilMs = computeFetchUntil(view, options.clock.readMonotonicMs());
	const places = findPlaces(view, salt, parts);

	return {
		salt,
		weightVersion,
		fetchFrom: fetchUntilMs === undefined ? [] : places.map(place => place?.storeAddress),
		fetchUntilMs,
		saveTo: planSaves(options, {salt, parts, places}),
	};
}

type SaveInput = {
	readonly salt: string;
	readonly parts: readonly PromptPart[];
	readonly places: ReadonlyArray<PartPlace | undefined>;
};

// The last part belongs to this request alone and does not return.
function planSaves(options: ForwardOptions, {salt, parts, places}: SaveInput): ReadonlyArray<string | undefined> {
	const {stores} = options.getTable();
	const {heldTokens} = options.parts.getView();
	// The other gateways have as much on its way there.
	const countHeldTokens = (address: string) => (heldTokens.get(address) ?? 0) + (options.parts.countPendingTokens(address) * options.countGateways());

	return parts.map((part, position) => {
		const isShared = position < parts.length - 1;

		return isShared && places[position] === undefined && !options.parts.isBeingSaved({salt, id: part.id})
			? chooseStore(stores, part, countHeldTokens)?.address
			: undefined;
	});
}

function describePrompt({caller}: Exchange, {service, prefillTokensPerMs}: {readonly service: Service; readonly prefillTokensPerMs: number}): PromptSize {
	const {promptTokens, maxOutputTokens, expectedOutputTokens, parts} = caller.prompt!;
	const shared = parts.slice(0, -1);
	let sharedTokens = 0;

	for (const part of shared) {
		sharedTokens += part.tokens;
	}

	return {
		promptTokens,
		outputTokens: expectedOutputTokens ?? maxOutputTokens,
		cacheTokens: service.engine!.cacheTokens,
		prefillTokensPerMs,
		affinityKey: shared.at(-1)?.id,
		sharedTokens,
	};
}
