import {setTimeout as sleep} from 'node:timers/promises';
import {Agent} from 'undici';
import {createSystemClock} from '@fescuestair/core';
import {startSystem, type System, type UpstreamProcess} from '@fescuestair/demo';
import {createHistogram, type Histogram} from './model/histogram.js';
import {createRandom} from './model/workload.js';
import {type Benchmark, type Report} from './report.js';

const clock = createSystemClock();
const agent = new Agent({connections: 64});
const seed = 5;
const prompts = 12;
const piecesPerPrompt = 20;
const charactersPerPiece = 4000;
const returns = 60;
/** Mean time between two long prompts. */
const gapMs = 400;
const answerTokens = 10;
const bytesPerPiece = 65_536;
const linkBytesPerSecond = 10_000_000;
const slowLinkBytesPerSecond = 1_000_000;
const warmupSettleMs = 2000;
const shortBoundMs = 340;

type Case = {
	readonly name: string;
	readonly stores: number;
	readonly linkBytesPerSecond: number;
	/** One store is killed when half of the prompts have returned. */
	readonly killsStore?: boolean;
};

type Outcome = {
	readonly long: Histogram;
	readonly short: Histogram;
	readonly recomputedShare: number;
	/** The busiest link, as a share of its budget. */
	readonly linkShare: number;
	readonly failures: number;
};

const cases: readonly Case[] = [
	{name: 'no_stores', stores: 0, linkBytesPerSecond},
	{name: 'healthy', stores: 2, linkBytesPerSecond},
	{
		name: 'store_killed', stores: 2, linkBytesPerSecond, killsStore: true,
	},
	{name: 'slow_link', stores: 2, linkBytesPerSecond: slowLinkBytesPerSecond},
];

function createPrompt(index: number): string {
	const word = `history ${index} `;

	return word.repeat(Math.ceil((piecesPerPrompt + 0.5) * charactersPerPiece / word.length));
}

type AskInput = {readonly content: string; readonly entry: number; readonly histogram: Histogram};

/** Sends a prompt and records its first token; tells whether the answer came whole. */
async function sendPrompt(system: System, {content, entry, histogram}: AskInput): Promise<boolean> {
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
		// Killed in the course of the measurement.
		return 0;
	}
}

async function sumPrefilled(system: System): Promise<number> {
	const counts = await Promise.all(system.engines.map(async engine => readStat(engine, 'prefilledTokens')));

	return counts.reduce((sum, count) => sum + count, 0);
}

async function runReturns(system: System, {killsStore = false, ...options}: Case): Promise<Outcome> {
	const random = createRandom(seed);
	const long = createHistogram();
	const short = createHistogram();

	for (let index = 0; index < prompts; index++) {
		await sendPrompt(system, {content: createPrompt(index), entry: index, histogram: createHistogram()});
	}

	await sleep(warmupSettleMs);
	const prefilledBefore = await sumPrefilled(system);
	const movedBefore = await Promise.all(system.stores.map(async store => readStat(store, 'movedBytes')));
	const startedMs = clock.readMonotonicMs();
	const answers: Array<Promise<boolean>> = [];

	for (let index = 0; index < returns; index++) {
		answers.push(
			sendPrompt(system, {content: createPrompt(Math.floor(random() * prompts)), entry: index, histogram: long}),
			sendPrompt(system, {content: `question ${index}`, entry: index + 1, histogram: short}),
		);
		await sleep(gapMs * 2 * random());

		if (killsStore && index === returns / 2) {
			system.stores[0]!.process.kill('SIGKILL');
		}
	}

	const whole = await Promise.all(answers);
	const seconds = (clock.readMonotonicMs() - startedMs) / 1000;
	const moved = await Promise.all(system.stores.map(async store => readStat(store, 'movedBytes')));
	const promptTokens = returns * (piecesPerPrompt + 0.5) * 1000;

	return {
		long,
		short,
		recomputedShare: (await sumPrefilled(system) - prefilledBefore) / promptTokens,
		linkShare: Math.max(0, ...moved.map((bytes, index) => (bytes - movedBefore[index]!) / seconds / options.linkBytesPerSecond)),
		failures: whole.filter(isWhole => !isWhole).length,
	};
}

async function runCase(one: Case): Promise<Outcome> {
	const system = await startSystem({
		entries: 2,
		controls: 1,
		engines: 2,
		services: 0,
		stores: one.stores,
		engineFlags: ['--prefill-rate', '40000', '--decode-ms', '10', '--slots', '16', '--cache-pieces', '60', '--piece-bytes', String(bytesPerPiece)],
		storeFlags: ['--link-rate', String(one.linkBytesPerSecond)],
	});

	try {
		return await runReturns(system, one);
	} finally {
		await system.stop();
	}
}

async function runStores(report: Report): Promise<void> {
	let baseline: Outcome | undefined;

	for (const one of cases) {
		const outcome = await runCase(one);
		baseline ??= outcome;
		report({
			bench: `stores.${one.name}.recomputed_share`, value: outcome.recomputedShare, unit: 'of prompt tokens', baseline: baseline.recomputedShare,
		});
		report({
			bench: `stores.${one.name}.long_first_token_p50`, value: outcome.long.getPercentile(50), unit: 'ms', baseline: baseline.long.getPercentile(50),
		});
		report({
			bench: `stores.${one.name}.long_first_token_p95`,
			value: outcome.long.getPercentile(95),
			unit: 'ms',
			baseline: baseline.long.getPercentile(95),
			bound: baseline === outcome ? undefined : baseline.long.getPercentile(95),
		});
		report({
			bench: `stores.${one.name}.short_first_token_p95`, value: outcome.short.getPercentile(95), unit: 'ms', baseline: baseline.short.getPercentile(95), bound: shortBoundMs,
		});
		report({
			bench: `stores.${one.name}.link_use`, value: outcome.linkShare, unit: 'of the budget', bound: 1,
		});
		report({
			bench: `stores.${one.name}.answers_not_whole`, value: outcome.failures, unit: 'answers', bound: 0,
		});
	}
}

export const storesBenchmark: Benchmark = {
	area: 'stores',
	isDefault: true,
	description: 'prompts that return after engines forgot them, with and without stores, as real processes',
	run: runStores,
};
