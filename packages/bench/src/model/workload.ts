import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {pieceTokens, Priority} from '@fescuestair/routing';

/** One prompt of the workload. */
export type WorkItem = {
	readonly atMs: number;
	readonly organisation: string;
	readonly priority: Priority;
	/** Names the prompt; a returning one has the same. */
	readonly prompt: string;
	readonly tokens: number;
	readonly outputTokens: number;
	readonly deadlineMs: number;
	/** Crashes each engine that runs it. */
	readonly isCrash: boolean;
};

export type WorkloadOptions = {
	readonly seed: number;
	readonly forMs: number;
	readonly longsPerSecond: number;
	readonly shortsPerSecond: number;
	/** Different long prompts that return again and again. */
	readonly longPrompts: number;
	readonly meanLongTokens: number;
	readonly crashEveryMs?: number;
	/** Multiplies the requests of the first organisation. */
	readonly floodFactor?: number;
};

const organisations = ['o1', 'o2', 'o3', 'o4', 'o5', 'o6', 'o7', 'o8', 'o9', 'o10'];
const longDeadlineMs = 60_000;
const shortDeadlineMs = 5000;
/** Part of the long prompts that are seen once and never again. */
const scanShare = 0.15;

/** Creates a seeded source of numbers from 0 to 1. */
export function createRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed);

	return () => uniformFloat64(generator);
}

/** Creates a workload: long prompts that return after gaps, single scans, short questions, a load that swells and ebbs. */
export function createWorkload(options: WorkloadOptions): readonly WorkItem[] {
	const random = createRandom(options.seed);
	const items = [...createArrivals(options, random, Priority.Long), ...createArrivals(options, random, Priority.Short)];

	return items.toSorted((a, b) => a.atMs - b.atMs);
}

function createArrivals(options: WorkloadOptions, random: () => number, priority: Priority): WorkItem[] {
	const {forMs, crashEveryMs} = options;
	const perSecond = priority === Priority.Long ? options.longsPerSecond : options.shortsPerSecond;
	const items: WorkItem[] = [];
	let atMs = 0;
	let nextCrashMs = crashEveryMs ?? Number.POSITIVE_INFINITY;

	for (;;) {
		const swell = 1 + (0.3 * Math.sin(atMs / forMs * 2 * Math.PI));
		atMs += -Math.log(1 - random()) * 1000 / (perSecond * swell);

		if (atMs > forMs) {
			return items;
		}

		const isCrash = priority === Priority.Short && atMs >= nextCrashMs;
		nextCrashMs = isCrash ? nextCrashMs + (crashEveryMs ?? 0) : nextCrashMs;
		items.push(createItem(options, {
			random, priority, atMs, isCrash,
		}), ...createFlood(options, {random, priority, atMs}));
	}
}

type ItemInput = {readonly random: () => number; readonly priority: Priority; readonly atMs: number; readonly isCrash: boolean};

// A few organisations are large: the square of an even draw favours the first.
function createItem(options: WorkloadOptions, {random, priority, atMs, isCrash}: ItemInput): WorkItem {
	const organisation = organisations[Math.floor((random() ** 2) * organisations.length)]!;

	return priority === Priority.Long
		? createLong(options, {random, atMs, organisation})
		: {
			atMs,
			organisation,
			priority,
			prompt: isCrash ? `crash-${Math.floor(atMs)}` : `short-${Math.floor(random() * 1e9)}`,
			tokens: 50 + Math.floor(random() * 400),
			outputTokens: 40 + Math.floor(random() * 80),
			deadlineMs: atMs + shortDeadlineMs,
			isCrash,
		};
}

function createLong(options: WorkloadOptions, {random, atMs, organisation}: {random: () => number; atMs: number; organisation: string}): WorkItem {
	const isScan = random() < scanShare;
	const number = isScan ? Math.floor(random() * 1e9) : Math.floor(random() * options.longPrompts);
	const spread = createRandom(number + 1)();

	return {
		atMs,
		organisation: isScan ? organisation : organisations[number % organisations.length]!,
		priority: Priority.Long,
		prompt: `${isScan ? 'scan' : 'long'}-${number}`,
		tokens: Math.floor(options.meanLongTokens * (0.5 + spread) / pieceTokens) * pieceTokens,
		outputTokens: 100 + Math.floor(random() * 150),
		deadlineMs: atMs + longDeadlineMs,
		isCrash: false,
	};
}

function createFlood(options: WorkloadOptions, {random, priority, atMs}: Omit<ItemInput, 'isCrash'>): WorkItem[] {
	const {floodFactor = 1} = options;

	return Array.from({length: Math.floor(floodFactor) - 1}, () => ({
		...createItem(options, {
			random, priority, atMs, isCrash: false,
		}), organisation: organisations[0]!,
	}));
}
