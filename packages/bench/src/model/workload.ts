import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {pieceTokens, Priority} from '@fescuestair/routing';

/** One request of the workload. */
export type WorkloadRequest = {
	readonly atMs: number;
	readonly organisation: string;
	readonly priority: Priority;
	/** Identifies the prompt; repetitions of a prompt have the same value. */
	readonly prompt: string;
	readonly tokens: number;
	readonly outputTokens: number;
	readonly deadlineMs: number;
	/** Whether each engine that runs the request crashes. */
	readonly shouldCrashEngine: boolean;
};

export type WorkloadOptions = {
	readonly seed: number;
	readonly durationMs: number;
	readonly longPromptsPerSecond: number;
	readonly shortPromptsPerSecond: number;
	/** Number of distinct long prompts that are repeated. */
	readonly distinctLongPrompts: number;
	readonly meanLongTokens: number;
	readonly crashIntervalMs?: number;
	/** With each request, the first organisation sends `floodFactor` - 1 more. */
	readonly floodFactor?: number;
};

const organisations = ['o1', 'o2', 'o3', 'o4', 'o5', 'o6', 'o7', 'o8', 'o9', 'o10'];
const longDeadlineMs = 60_000;
const shortDeadlineMs = 5000;
/** Share of the long prompts that are sent once and never repeated. */
const oneOffShare = 0.15;

/** Creates a seeded generator of uniform numbers from 0 to 1. */
export function createRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed);

	return () => uniformFloat64(generator);
}

/** Creates a workload of repeated long prompts, one-off long prompts and short prompts with Poisson arrivals, whose rate follows a sine over the run. */
export function createWorkload(options: WorkloadOptions): readonly WorkloadRequest[] {
	const random = createRandom(options.seed);
	const requests = [...createArrivals(options, random, Priority.Long), ...createArrivals(options, random, Priority.Short)];

	return requests.toSorted((a, b) => a.atMs - b.atMs);
}

function createArrivals(options: WorkloadOptions, random: () => number, priority: Priority): WorkloadRequest[] {
	const {durationMs, crashIntervalMs} = options;
	const requestsPerSecond = priority === Priority.Long ? options.longPromptsPerSecond : options.shortPromptsPerSecond;
	const requests: WorkloadRequest[] = [];
	let atMs = 0;
	let nextCrashMs = crashIntervalMs ?? Number.POSITIVE_INFINITY;

	for (;;) {
		const rateFactor = 1 + (0.3 * Math.sin(atMs / durationMs * 2 * Math.PI));
		atMs += -Math.log(1 - random()) * 1000 / (requestsPerSecond * rateFactor);

		if (atMs > durationMs) {
			return requests;
		}

		const shouldCrashEngine = priority === Priority.Short && atMs >= nextCrashMs;
		nextCrashMs = shouldCrashEngine ? nextCrashMs + (crashIntervalMs ?? 0) : nextCrashMs;
		requests.push(createRequest(options, {
			random, priority, atMs, shouldCrashEngine,
		}), ...createFloodRequests(options, {random, priority, atMs}));
	}
}

type RequestInput = {readonly random: () => number; readonly priority: Priority; readonly atMs: number; readonly shouldCrashEngine: boolean};

// Squares a uniform draw: the first organisations get more requests, so a few of them are large.
function createRequest(options: WorkloadOptions, {random, priority, atMs, shouldCrashEngine}: RequestInput): WorkloadRequest {
	const organisation = organisations[Math.floor((random() ** 2) * organisations.length)]!;

	return priority === Priority.Long
		? createLongPrompt(options, {random, atMs, organisation})
		: {
			atMs,
			organisation,
			priority,
			prompt: shouldCrashEngine ? `crash-${Math.floor(atMs)}` : `short-${Math.floor(random() * 1e9)}`,
			tokens: 50 + Math.floor(random() * 400),
			outputTokens: 40 + Math.floor(random() * 80),
			deadlineMs: atMs + shortDeadlineMs,
			shouldCrashEngine,
		};
}

function createLongPrompt(options: WorkloadOptions, {random, atMs, organisation}: {random: () => number; atMs: number; organisation: string}): WorkloadRequest {
	const isOneOff = random() < oneOffShare;
	const promptNumber = isOneOff ? Math.floor(random() * 1e9) : Math.floor(random() * options.distinctLongPrompts);
	// Seeded by the prompt, so that repetitions have the same length.
	const lengthVariation = createRandom(promptNumber + 1)();

	return {
		atMs,
		organisation: isOneOff ? organisation : organisations[promptNumber % organisations.length]!,
		priority: Priority.Long,
		prompt: `${isOneOff ? 'scan' : 'long'}-${promptNumber}`,
		tokens: Math.floor(options.meanLongTokens * (0.5 + lengthVariation) / pieceTokens) * pieceTokens,
		outputTokens: 100 + Math.floor(random() * 150),
		deadlineMs: atMs + longDeadlineMs,
		shouldCrashEngine: false,
	};
}

function createFloodRequests(options: WorkloadOptions, {random, priority, atMs}: Omit<RequestInput, 'shouldCrashEngine'>): WorkloadRequest[] {
	const {floodFactor = 1} = options;

	return Array.from({length: Math.floor(floodFactor) - 1}, () => ({
		...createRequest(options, {
			random, priority, atMs, shouldCrashEngine: false,
		}), organisation: organisations[0]!,
	}));
}
