import {type InstanceOption, type PromptPart} from '@fescuestair/routing';
import {type EngineFigures, type StoreFigures} from '@fescuestair/traffic';
import {type InstanceEntry} from './instance-entry.js';

/** A part of a prompt that an engine can fetch from a store, and what that takes. */
type PartFetch = {
	readonly availabilityZone: string;
	readonly firstByteMs: number;
	/** Within an availability zone. */
	readonly transferMs: number;
};

/** A prompt as engines on one version of its model's weights would read it. Made once a request, for all of them. */
export type OptionPrompt = {
	readonly parts: readonly PromptPart[];
	/** Parts are cached under it. */
	readonly salt: string;
	/** In the order of the parts; `undefined` where a part is in no store. */
	readonly fetches: ReadonlyArray<PartFetch | undefined>;
};

/** Transfers between availability zones take twice as long. */
const otherZoneFactor = 2;
const bitsPerByte = 8;
const bitsPerMegabitMs = 1000;

export type PromptInput = {
	readonly parts: readonly PromptPart[];
	readonly salt: string;
	/** For each part in order, the address of the store that holds it. */
	readonly fetchFrom: ReadonlyArray<string | undefined>;
	readonly stores: readonly StoreFigures[];
	readonly engine: EngineFigures;
};

/** Plans from where the parts of a prompt can be fetched. */
export function planOptionPrompt({parts, salt, fetchFrom, stores, engine}: PromptInput): OptionPrompt {
	return {
		parts,
		salt,
		fetches: parts.map(({tokens}, position) => {
			const store = fetchFrom[position] === undefined ? undefined : stores.find(one => one.address === fetchFrom[position]);

			return store && {
				availabilityZone: store.availabilityZone, firstByteMs: store.firstByteMs, transferMs: computeTransferMs(store, {tokens, engine}),
			};
		}),
	};
}

function computeTransferMs(store: StoreFigures, {tokens, engine}: {readonly tokens: number; readonly engine: EngineFigures}): number {
	const megabits = Math.max(1, Math.min(store.linkMegabitsPerSecond, engine.linkMegabitsPerSecond));

	return tokens * engine.bytesPerToken * bitsPerByte / (megabits * bitsPerMegabitMs);
}

export type OptionInput = {
	readonly nowMs: number;
	readonly prompt: OptionPrompt | undefined;
	/** Newer weights than its own were named some time ago. */
	readonly isOutdated: boolean;
};

/** Describes an instance for the choice of where a request goes. */
export function describeOption(entry: InstanceEntry, {nowMs, prompt, isOutdated}: OptionInput): InstanceOption {
	const {held: {record}, standing} = entry;
	const {cachedTokens, fetchableTokens, fetchMs} = describeCoverage(entry, prompt);

	return {
		id: record.id,
		availabilityZone: record.availabilityZone,
		slots: Math.max(1, record.slots),
		load: entry.load,
		failureShare: standing.health.failureShare,
		isOutdated,
		isCold: standing.coldDeadlineMs > nowMs,
		cachedTokens,
		fetchableTokens,
		fetchMs,
	};
}

type Coverage = Pick<InstanceOption, 'cachedTokens' | 'fetchableTokens' | 'fetchMs'>;

const noCoverage: Coverage = {cachedTokens: 0, fetchableTokens: 0, fetchMs: 0};

// A prompt is spared the reading of a part only where all parts before it are at hand too.
function describeCoverage(entry: InstanceEntry, prompt: OptionPrompt | undefined): Coverage {
	if (prompt === undefined) {
		return noCoverage;
	}

	const cachedTokens = entry.cached?.salt === prompt.salt ? entry.cached.parts.countCached(prompt.parts) : 0;
	let passedTokens = 0;
	let fetchableTokens = 0;
	let fetchMs = 0;

	for (const [position, {tokens}] of prompt.parts.entries()) {
		passedTokens += tokens;

		if (passedTokens <= cachedTokens) {
			continue;
		}

		const fetch = prompt.fetches[position];

		if (fetch === undefined) {
			break;
		}

		fetchableTokens += tokens;
		fetchMs += fetch.firstByteMs + (fetch.transferMs * (fetch.availabilityZone === entry.held.record.availabilityZone ? 1 : otherZoneFactor));
	}

	return {cachedTokens, fetchableTokens, fetchMs};
}
