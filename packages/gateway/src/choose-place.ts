import {
	computeWaitMs, type InstanceOption, type LevelInput, type Placement, type PromptPart, type PromptSize,
} from '@fescuestair/routing';
import {maxReservationMs} from '@fescuestair/limits';
import {
	chooseStore, computeFetchDeadline, locateParts, formatSalt, type PartLocation,
} from '@fescuestair/parts';
import {
	createZoneFilter, mergeAllowedRegions, type Service, type StoreSettings,
} from '@fescuestair/traffic';
import {type CacheInstructions, type PromptDescription} from './codecs.js';
import {describeInstanceOption, planPromptFetch, type PromptFetchPlan} from './describe-option.js';
import {computeTimeLeftMs, type Exchange} from './exchange.js';
import {type ForwardOptions, type ForwardingProgress} from './forward-options.js';
import {isOpenTo} from './forwarding-context.js';
import {type PooledInstance} from './pooled-instance.js';
import {WeightsUse} from './target-version-history.js';

/** The instance chosen for a request, and how the request is sent to it. */
export type InstanceChoice = {
	readonly entry: PooledInstance;
	readonly placement: Placement;
	/** `undefined` for a plain call, and where the version of the weights on the instance is not known. */
	readonly cache: CacheInstructions | undefined;
	/** Prompt tokens that the instance is expected to prefill, being neither in its cache nor in a store; 0 for a plain call. */
	readonly uncachedTokens: number;
};

/** Chooses an instance for a request among those that it has not been sent to; `undefined` where none of them accepts requests now. */
export function chooseInstanceForRequest(options: ForwardOptions, exchange: Exchange, {service, progress}: {
	readonly service: Service; readonly progress: ForwardingProgress;
}): InstanceChoice | undefined {
	const {prompt} = exchange.caller;
	const openEntries = listOpenEntries(options, {service, progress});

	return service.engine === undefined || prompt === undefined
		? choosePlainInstance(options, exchange, {
			service: service.name, progress, openEntries: service.engine === undefined ? openEntries : openEntries.filter(entry => !hasBarredWeights(options, entry)),
		})
		: chooseEngineInstance(options, exchange, {service, openEntries, prompt});
}

// A request that holds a permit goes to the instance that it is for, as long as that instance takes requests. If limits close all instances, those
// that open soon enough to reserve a permit remain.
function listOpenEntries({instancePool, permits, clock}: ForwardOptions, {service, progress}: {readonly service: Service; readonly progress: ForwardingProgress}): readonly PooledInstance[] {
	const permitted = progress.permit === undefined || !progress.isEligible(progress.permit.record) ? undefined : instancePool.findSendable(progress.permit.record);

	if (permitted !== undefined) {
		return [permitted];
	}

	const isOpen = (entry: PooledInstance) => isOpenTo(progress, entry);
	const available = instancePool.listAvailable(service.name, isOpen);

	if (available.length > 0) {
		return available;
	}

	const horizonMs = clock.readMonotonicMs() + maxReservationMs;

	return instancePool.listLimited(service.name).filter(entry => isOpen(entry) && permits.getClosedUntilMs(entry.held.record) <= horizonMs);
}

type PlainChoiceInput = {readonly openEntries: readonly PooledInstance[]; readonly service: string; readonly progress: ForwardingProgress};

function choosePlainInstance(options: ForwardOptions, exchange: Exchange, {openEntries, service, progress}: PlainChoiceInput): InstanceChoice | undefined {
	const {instancePool, clock, availabilityZone, chooseInstance} = options;
	const nowMs = clock.readMonotonicMs();
	const placement = chooseInstance({
		options: openEntries.map(entry => describeInstanceOption(entry, {nowMs, prompt: undefined, isOutdated: false})), nowMs, availabilityZone, prompt: undefined,
		crowd: describeCrowd(options, service),
		// A request that was sent before has no time to find out whether another instance is slow.
		revisit: progress.triedInstanceIds.size > 0 ? undefined : {callsSince: instancePool.getCallsSinceRevisit(service), timeLeftMs: computeTimeLeftMs(exchange, nowMs)},
	});

	return placement && {
		entry: instancePool.get(placement.id)!, placement, cache: undefined, uncachedTokens: 0,
	};
}

// A request that does not say which model it is for may run on any of those that its engine holds. An engine that names none may hold any, on any version.
function hasBarredWeights({classifyWeights, listTargetModels}: ForwardOptions, {held: {record: {models}}}: PooledInstance): boolean {
	return models.length > 0
		? models.some(({name, version}) => classifyWeights(name, version) === WeightsUse.Barred)
		: [...listTargetModels()].some(model => classifyWeights(model, undefined) === WeightsUse.Barred);
}

type EngineChoiceInput = {readonly openEntries: readonly PooledInstance[]; readonly service: Service; readonly prompt: PromptDescription};

/** Data shared by all engines that serve the same version of the weights. */
type WeightVersionPlan = {
	readonly isBarred: boolean;
	/** A newer version is the target, for however short a time. */
	readonly isSuperseded: boolean;
	/** A newer version has been the target for so long that responses are worth less. */
	readonly isOutdated: boolean;
	readonly cache: CacheInstructions | undefined;
	readonly prompt: PromptFetchPlan | undefined;
};

function chooseEngineInstance(options: ForwardOptions, exchange: Exchange, {service, openEntries, prompt}: EngineChoiceInput): InstanceChoice | undefined {
	const {clock, instancePool, availabilityZone, chooseInstance} = options;
	const nowMs = clock.readMonotonicMs();
	const prefillTokensPerMs = instancePool.getPrefillTokensPerMs(service.name);
	const plans = new Map<number | undefined, WeightVersionPlan>();
	const candidates: InstanceOption[] = [];

	const getPlan = (version: number | undefined) => {
		const plan = plans.get(version) ?? planVersion(options, exchange, {service, version});
		plans.set(version, plan);

		return plan;
	};

	for (const entry of openEntries) {
		const version = findVersion(entry, prompt.model);
		const plan = getPlan(version);

		// Without a version there is no salt that would keep the prompts of an isolated organisation apart.
		if (version === undefined && exchange.organisation?.isIsolated === true) {
			continue;
		}

		if (!plan.isBarred && !(plan.isSuperseded && isStartTooLate(options, entry, {model: prompt.model, version, nowMs}))) {
			candidates.push(describeInstanceOption(entry, {nowMs, prompt: plan.prompt, isOutdated: plan.isOutdated}));
		}
	}

	const placement = chooseInstance({
		options: candidates, nowMs, availabilityZone, prompt: describePromptSize(exchange, {service, prefillTokensPerMs}), crowd: describeCrowd(options, service.name),
	});

	if (placement === undefined) {
		return undefined;
	}

	const entry = instancePool.get(placement.id)!;
	const {cachedTokens, fetchableTokens} = candidates.find(option => option.id === placement.id)!;

	return {
		entry, placement, cache: getPlan(findVersion(entry, prompt.model)).cache, uncachedTokens: Math.max(0, prompt.promptTokens - cachedTokens - fetchableTokens),
	};
}

// The other gateways choose among the same instances, on much the same view of their load.
function describeCrowd({instancePool, countGateways}: ForwardOptions, service: string): LevelInput | undefined {
	const otherGateways = countGateways() - 1;

	return otherGateways > 0 ? {draw: Math.random(), unseenRequests: instancePool.estimateUnseenRequests(service, otherGateways)} : undefined;
}

/** Whether the zone of the chosen instance has been evacuated, or its weights have become too old, since it was chosen, as during the wait for a permit. */
export function hasBecomeBarred(options: ForwardOptions, {caller: {prompt}}: Exchange, {entry}: InstanceChoice): boolean {
	return options.instancePool.isEvacuated(entry)
		|| (prompt !== undefined && options.classifyWeights(prompt.model, findVersion(entry, prompt.model)) === WeightsUse.Barred);
}

/** Factor by which the wait in an engine's queue may exceed its estimate, as it does in bursts. */
const queueGrowthFactor = 2;

// Whether a request sent now might start only once the instance's weights are too old for new requests.
function isStartTooLate({classifyWeights}: ForwardOptions, {load}: PooledInstance, {model, version, nowMs}: {
	readonly model: string; readonly version: number | undefined; readonly nowMs: number;
}): boolean {
	const startMs = queueGrowthFactor * Math.max(computeWaitMs(load.work, nowMs), load.meanMs ?? 0);

	return classifyWeights(model, version, startMs) === WeightsUse.Barred;
}

function planVersion(options: ForwardOptions, exchange: Exchange, {service, version}: {readonly service: Service; readonly version: number | undefined}): WeightVersionPlan {
	const {model, parts} = exchange.caller.prompt!;
	const use = options.classifyWeights(model, version);
	const cache = version === undefined || use === WeightsUse.Barred ? undefined : createCacheInstructions(options, exchange, version);

	return {
		isBarred: use === WeightsUse.Barred,
		isSuperseded: options.findNewerTarget(model, version) !== undefined,
		isOutdated: use === WeightsUse.Late,
		cache,
		prompt: cache && planPromptFetch({
			parts, salt: cache.salt, fetchAddresses: cache.fetchAddresses, stores: options.getTable().stores, engine: service.engine!,
		}),
	};
}

function findVersion(entry: PooledInstance, model: string): number | undefined {
	return entry.held.record.models.find(one => one.name === model)?.version;
}

// The salt separates cache entries: an isolated organisation shares none with others, no weight version shares any with another version, and what must not leave some regions is
// shared only by requests that allow the same ones. Parts are saved to, and fetched from, stores in allowed regions only.
function createCacheInstructions(options: ForwardOptions, {route, organisation, caller}: Exchange, weightVersion: number): CacheInstructions {
	const {model, parts} = caller.prompt!;
	const allowedRegions = mergeAllowedRegions(route, organisation);
	const isAllowedZone = createZoneFilter(allowedRegions, options.regionsByZone);
	const stores = options.getTable().stores.filter(({availabilityZone}) => isAllowedZone(availabilityZone));
	const isAllowedStore = (address: string) => allowedRegions === undefined || stores.some(store => store.address === address);
	const salt = formatSalt({
		isolatedOrganisation: organisation?.isIsolated === true ? organisation.name : undefined, model, weightVersion, allowedRegions,
	});
	const view = options.parts.getView();
	const fetchDeadlineMs = computeFetchDeadline(view, options.clock.readMonotonicMs());
	const places = locateParts(view, salt, parts).map(place => place !== undefined && isAllowedStore(place.storeAddress) ? place : undefined);

	return {
		salt,
		weightVersion,
		fetchAddresses: fetchDeadlineMs === undefined ? [] : places.map(place => place?.storeAddress),
		fetchDeadlineMs,
		saveAddresses: planSaves(options, {
			salt, parts, places, stores,
		}),
	};
}

type SaveInput = {
	readonly salt: string;
	readonly parts: readonly PromptPart[];
	readonly places: ReadonlyArray<PartLocation | undefined>;
	readonly stores: readonly StoreSettings[];
};

// Chooses a store for each part that is in none yet. The last part is not saved: it belongs to this request alone and will not be used again.
function planSaves(options: ForwardOptions, {salt, parts, places, stores}: SaveInput): ReadonlyArray<string | undefined> {
	const {heldTokens} = options.parts.getView();
	// Assumes that every other gateway has as many tokens being saved to the store.
	const countHeldTokens = (address: string) => (heldTokens.get(address) ?? 0) + (options.parts.countPendingTokens(address) * options.countGateways());

	return parts.map((part, position) => {
		const isShared = position < parts.length - 1;

		return isShared && places[position] === undefined && !options.parts.isBeingSaved({salt, id: part.id})
			? chooseStore(stores, part, countHeldTokens)?.address
			: undefined;
	});
}

function describePromptSize({caller}: Exchange, {service, prefillTokensPerMs}: {readonly service: Service; readonly prefillTokensPerMs: number}): PromptSize {
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
