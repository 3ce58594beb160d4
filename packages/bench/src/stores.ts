import {setTimeout as sleep} from 'node:timers/promises';
import {Agent} from 'undici';
import {createSystemClock} from '@fescuestair/core';
import {startSystem, type System, type UpstreamProcess} from '@fescuestair/demo';
import {createHistogram, type Histogram} from './model/histogram.js';
import {createRandom} from './model/workload.js';
import {type Benchmark, type ReportMeasurement} from './report.js';

const clock = createSystemClock();
const agent = new Agent({connections: 64});
const seed = 5;
const distinctPrompts = 12;
const piecesPerPrompt = 20;
const charactersPerPiece = 4000;
const repeatedPrompts = 60;
/** Mean interval between two long prompts. */
const meanIntervalMs = 400;
const answerTokens = 10;
const bytesPerPiece = 65_536;
const linkBytesPerSecond = 10_000_000;
const slowLinkBytesPerSecond = 1_000_000;
const warmupSettleMs = 2000;
const shortFirstTokenBoundMs = 340;

type Case = {
	readonly name: string;
	readonly stores: number;
	readonly linkBytesPerSecond: number;
	/** Whether one store is killed after half of the repeated prompts were sent. */
	readonly shouldKillStore?: boolean;
};

type Outcome = {
	readonly long: Histogram;
	readonly short: Histogram;
	readonly recomputedShare: number;
	/** Utilization of the busiest link, as a share of its bandwidth budget. */
	readonly linkShare: number;
	readonly incompleteAnswers: number;
};

const cases: readonly Case[] = [
	{name: 'no_stores', stores: 0, linkBytesPerSecond},
	{name: 'healthy', stores: 2, linkBytesPerSecond},
	{
		name: 'store_killed', stores: 2, linkBytesPerSecond, shouldKillStore: true,
	},
	{name: 'slow_link', stores: 2, linkBytesPerSecond: slowLinkBytesPerSecond},
];

function createPrompt(index: number): string {
	const word = `history ${index} `;

	return word.repeat(Math.ceil((piecesPerPrompt + 0.5) * charactersPerPiece / word.length));
}

type PromptInput = {readonly content: string; readonly entry: number; readonly histogram: Histogram};

/** Sends a prompt and records the time to its first token. Returns whether the answer was complete. */
async function sendPrompt(system: System, {content, entry, histogram}: PromptInput): Promise<boolean> {
	const startedMs = clock.readMonotonicMs();
	const response = await agent.request({
		origin: `http://${system.entries[entry % system.entries.length]!.address}`,
		path: '/v1/chat/completions',
		method: 'POST',
		headers: {authorization: `Bearer ${system.organisationKey}`, 'content-type': 'application/json'},
		body: JSON.stringify({
			model: 'assistant', stream: true, max_tokens: answerTokens, messages: [{role: 'user', content}], // eslint-disable-line @typescript-eslint/naming-convention
		}),
	});
	let text = '';

	for await (const chunk of response.body) {
		if (text === '' && response.statusCode === 200) {
			histogram.record(clock.readMonotonicMs() - startedMs);
		}

		text += String(chunk);
	}

	return text.endsWith('data: [DONE]\n\n');
}

async function readStat(upstream: UpstreamProcess, name: 'prefilledTokens' | 'movedBytes'): Promise<number> {
	try {
		const response = await agent.request({origin: `http://${upstream.address}`, path: '/v1/stats', method: 'GET'});

		return ((await response.body.json()) as Record<string, number>)[name]!;
	} catch {
		// The process was killed during the measurement.
		return 0;
	}
}

async function sumPrefilledTokens(system: System): Promise<number> {
	const counts = await Promise.all(system.engines.map(async engine => readStat(engine, 'prefilledTokens')));

	return counts.reduce((sum, count) => sum + count, 0);
}

async function sendRepeatedPrompts(system: System, {shouldKillStore = false, ...options}: Case): Promise<Outcome> {
	const random = createRandom(seed);
	const long = createHistogram();
	const short = createHistogram();

	for (let index = 0; index < distinctPrompts; index++) {
		await sendPrompt(system, {content: createPrompt(index), entry: index, histogram: createHistogram()});
	}

	await sleep(warmupSettleMs);
	const prefilledTokensBefore = await sumPrefilledTokens(system);
	const movedBytesBefore = await Promise.all(system.stores.map(async store => readStat(store, 'movedBytes')));
	const startedMs = clock.readMonotonicMs();
	const answers: Array<Promise<boolean>> = [];

	for (let index = 0; index < repeatedPrompts; index++) {
		answers.push(
			sendPrompt(system, {content: createPrompt(Math.floor(random() * distinctPrompts)), entry: index, histogram: long}),
			sendPrompt(system, {content: `question ${index}`, entry: index + 1, histogram: short}),
		);
		await sleep(meanIntervalMs * 2 * random());

		if (shouldKillStore && index === repeatedPrompts / 2) {
			system.stores[0]!.process.kill('SIGKILL');
		}
	}

	const completions = await Promise.all(answers);
	const seconds = (clock.readMonotonicMs() - startedMs) / 1000;
	const movedBytesAfter = await Promise.all(system.stores.map(async store => readStat(store, 'movedBytes')));
	const promptTokens = repeatedPrompts * (piecesPerPrompt + 0.5) * 1000;

	return {
		long,
		short,
		recomputedShare: (await sumPrefilledTokens(system) - prefilledTokensBefore) / promptTokens,
		linkShare: Math.max(0, ...movedBytesAfter.map((bytes, index) => (bytes - movedBytesBefore[index]!) / seconds / options.linkBytesPerSecond)),
		incompleteAnswers: completions.filter(isComplete => !isComplete).length,
	};
}

async function runCase(benchmarkCase: Case): Promise<Outcome> {
	const system = await startSystem({
		entries: 2,
		controls: 1,
		engines: 2,
		services: 0,
		stores: benchmarkCase.stores,
		engineFlags: ['--prefill-rate', '40000', '--decode-ms', '10', '--slots', '16', '--cache-pieces', '60', '--piece-bytes', String(bytesPerPiece)],
		storeFlags: ['--link-rate', String(benchmarkCase.linkBytesPerSecond)],
	});

	try {
		return await sendRepeatedPrompts(system, benchmarkCase);
	} finally {
		await system.stop();
	}
}

async function measureStores(report: ReportMeasurement): Promise<void> {
	let baseline: Outcome | undefined;

	for (const benchmarkCase of cases) {
		const outcome = await runCase(benchmarkCase);
		baseline ??= outcome;
		report({
			bench: `stores.${benchmarkCase.name}.recomputed_share`, value: outcome.recomputedShare, unit: 'of prompt tokens', baseline: baseline.recomputedShare,
		});
		report({
			bench: `stores.${benchmarkCase.name}.long_first_token_p50`, value: outcome.long.getPercentile(50), unit: 'ms', baseline: baseline.long.getPercentile(50),
		});
		report({
			bench: `stores.${benchmarkCase.name}.long_first_token_p95`,
			value: outcome.long.getPercentile(95),
			unit: 'ms',
			baseline: baseline.long.getPercentile(95),
			bound: baseline === outcome ? undefined : baseline.long.getPercentile(95),
		});
		report({
			bench: `stores.${benchmarkCase.name}.short_first_token_p95`, value: outcome.short.getPercentile(95), unit: 'ms', baseline: baseline.short.getPercentile(95), bound: shortFirstTokenBoundMs,
		});
		report({
			bench: `stores.${benchmarkCase.name}.link_use`, value: outcome.linkShare, unit: 'of the budget', bound: 1,
		});
		report({
			bench: `stores.${benchmarkCase.name}.answers_not_whole`, value: outcome.incompleteAnswers, unit: 'answers', bound: 0,
		});
	}
}

export const storesBenchmark: Benchmark = {
	area: 'stores',
	isDefault: true,
	description: 'prompts repeated after the engines evicted their pieces, with and without stores, on real processes',
	run: measureStores,
};
