import {type InstanceOption, type PromptPart} from '@fescuestair/routing';
import {type EngineSettings, type StoreSettings} from '@fescuestair/traffic';
import {type PooledInstance} from './pooled-instance.js';

/** Cost of fetching one part of a prompt from a store. */
type PartFetch = {
	readonly availabilityZone: string;
	readonly firstByteMs: number;
	/** Transfer time within one availability zone. */
	readonly transferMs: number;
};

/** Where the parts of a prompt can be fetched from, for engines on one version of the model's weights. Computed once per request and version. */
export type PromptFetchPlan = {
	readonly parts: readonly PromptPart[];
	/** Namespace of the cached parts. */
	readonly salt: string;
	/** One entry per part, in order; `undefined` where the part is in no store. */
	readonly fetches: ReadonlyArray<PartFetch | undefined>;
};

/** Transfers between availability zones take twice as long as within one. */
const crossZoneTransferFactor = 2;
const bitsPerByte = 8;
/** 1 Mbit/s is this many bits per ms. */
const bitsPerMegabitMs = 1000;

export type PromptFetchInput = {
	readonly parts: readonly PromptPart[];
	readonly salt: string;
	/** One entry per part, in order: the address of the store that holds it. */
	readonly fetchAddresses: ReadonlyArray<string | undefined>;
	readonly stores: readonly StoreSettings[];
	readonly engine: EngineSettings;
};

/** Determines from which stores the parts of a prompt can be fetched, and at what cost. */
export function planPromptFetch({parts, salt, fetchAddresses, stores, engine}: PromptFetchInput): PromptFetchPlan {
	return {
		parts,
		salt,
		fetches: parts.map(({tokens}, position) => {
			const store = fetchAddresses[position] === undefined ? undefined : stores.find(one => one.address === fetchAddresses[position]);

			return store && {
				availabilityZone: store.availabilityZone, firstByteMs: store.firstByteMs, transferMs: computeTransferMs(store, {tokens, engine}),
			};
		}),
	};
}

function computeTransferMs(store: StoreSettings, {tokens, engine}: {readonly tokens: number; readonly engine: EngineSettings}): number {
	const megabits = Math.max(1, Math.min(store.linkMegabitsPerSecond, engine.linkMegabitsPerSecond));

	return tokens * engine.bytesPerToken * bitsPerByte / (megabits * bitsPerMegabitMs);
}

export type OptionInput = {
	readonly nowMs: number;
	readonly prompt: PromptFetchPlan | undefined;
	/** The target version of the weights has been newer than that of the instance for some time. */
	readonly isOutdated: boolean;
};

/** Builds the routing input for one instance. */
export function describeInstanceOption(entry: PooledInstance, {nowMs, prompt, isOutdated}: OptionInput): InstanceOption {
	const {held: {record}, standing} = entry;
	const {cachedTokens, fetchableTokens, fetchMs} = describeCoverage(entry, prompt);

	return {
		id: record.id,
		availabilityZone: record.availabilityZone,
		slots: Math.max(1, record.slots),
		load: entry.load,
		failureShare: standing.health.failureShare,
		isOutdated,
		coldLeftMs: Math.max(0, standing.coldDeadlineMs - nowMs),
		cachedTokens,
		fetchableTokens,
		fetchMs,
	};
}

type Coverage = Pick<InstanceOption, 'cachedTokens' | 'fetchableTokens' | 'fetchMs'>;

const noCoverage: Coverage = {cachedTokens: 0, fetchableTokens: 0, fetchMs: 0};

// A part saves prefill work only if all parts before it are cached or can be fetched too, since only a contiguous prefix can be reused.
function describeCoverage(entry: PooledInstance, prompt: PromptFetchPlan | undefined): Coverage {
	if (prompt === undefined) {
		return noCoverage;
	}

	const cachedTokens = entry.cached?.salt === prompt.salt ? entry.cached.parts.countCachedTokens(prompt.parts) : 0;
	let prefixTokens = 0;
	let fetchableTokens = 0;
	let fetchMs = 0;

	for (const [position, {tokens}] of prompt.parts.entries()) {
		prefixTokens += tokens;

		if (prefixTokens <= cachedTokens) {
			continue;
		}

		const fetch = prompt.fetches[position];

		if (fetch === undefined) {
			break;
		}

		fetchableTokens += tokens;
		fetchMs += fetch.firstByteMs + (fetch.transferMs * (fetch.availabilityZone === entry.held.record.availabilityZone ? 1 : crossZoneTransferFactor));
	}

	return {cachedTokens, fetchableTokens, fetchMs};
}
