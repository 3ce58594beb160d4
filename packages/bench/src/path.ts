import {setTimeout as sleep} from 'node:timers/promises';
import {Agent} from 'undici';
import {createSystemClock} from '@fescuestair/core';
import {startSystem, type System} from '@fescuestair/demo';
import {createHistogram, type Histogram} from './model/histogram.js';
import {type Benchmark, type ReportMeasurement} from './report.js';
import {readProcessUsage} from './process-usage.js';

const clock = createSystemClock();
const agent = new Agent({connections: 256});
const requestPairs = 300;
const requestsPerSecond = 25;
const tokensPerRequest = 320;
const loadDurationMs = 8000;
const warmupMs = 2000;
const maxCoreShare = 0.5;

type RequestTarget = {readonly origin: string; readonly path: string; readonly headers: Readonly<Record<string, string>>; readonly body: string};

function createEntryTarget(system: System, tokens: number, content: string): RequestTarget {
	return {
		origin: `http://${system.entries[0]!.address}`,
		path: '/v1/chat/completions',
		headers: {authorization: `Bearer ${system.organisationKey}`, 'content-type': 'application/json'},
		body: JSON.stringify({
			model: 'assistant', stream: true, max_tokens: tokens, messages: [{role: 'user', content}], // eslint-disable-line @typescript-eslint/naming-convention
		}),
	};
}

function createDirectTarget(system: System, tokens: number, {content, requestId}: {content: string; requestId: string}): RequestTarget {
	return {
		origin: `http://${system.engines[0]!.address}`,
		path: '/v1/generate',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify({
			requestId, attempt: 1, organisation: 'okahandja', model: 'assistant', weightVersion: '1', prompt: `user\n${content}\n`, maxTokens: tokens, priority: 'short',
			continueText: '', fromOffset: 0,
		}),
	};
}

/** Sends a request, reads the response to its end and records the time to its first event. */
async function measureFirstTokenLatency({origin, path, headers, body}: RequestTarget, histogram: Histogram): Promise<void> {
	const startedMs = clock.readMonotonicMs();
	const response = await agent.request({
		origin, path, method: 'POST', headers, body,
	});
	let isFirst = true;

	for await (const chunk of response.body) {
		if (isFirst && String(chunk).includes('data: ')) {
			isFirst = false;
			histogram.record(clock.readMonotonicMs() - startedMs);
		}
	}
}

async function measureAddedLatency(system: System, report: ReportMeasurement): Promise<void> {
	const direct = createHistogram();
	const viaEntry = createHistogram();

	for (let pair = 0; pair < requestPairs; pair++) {
		const isMeasured = pair >= requestPairs / 3;
		await measureFirstTokenLatency(createDirectTarget(system, 2, {content: `d${pair}`, requestId: `d-${pair}`}), isMeasured ? direct : createHistogram());
		await measureFirstTokenLatency(createEntryTarget(system, 2, `e${pair}`), isMeasured ? viaEntry : createHistogram());
	}

	for (const [percentile, bound] of [[50, 1], [99, 5]] as const) {
		report({
			bench: `path.added_first_token_p${percentile}`,
			value: viaEntry.getPercentile(percentile) - direct.getPercentile(percentile),
			unit: 'ms',
			baseline: direct.getPercentile(percentile),
			bound,
		});
	}
}

async function measureLoad(system: System, idleStreams: number, report: ReportMeasurement): Promise<void> {
	const histogram = createHistogram();
	const {pid} = system.entries[0]!.process;
	const requests: Array<Promise<void>> = [];
	const endMs = clock.readMonotonicMs() + warmupMs + loadDurationMs;
	let usageBefore = await readProcessUsage(pid);
	let measurementStartMs = clock.readMonotonicMs();
	let requestCount = 0;

	while (clock.readMonotonicMs() < endMs) {
		requests.push(measureFirstTokenLatency(createEntryTarget(system, tokensPerRequest, `load ${requestCount++}`), histogram));

		if (clock.readMonotonicMs() < endMs - loadDurationMs) {
			usageBefore = await readProcessUsage(pid);
			measurementStartMs = clock.readMonotonicMs();
		}

		await sleep(1000 / requestsPerSecond);
	}

	const usageAfter = await readProcessUsage(pid);
	const seconds = (clock.readMonotonicMs() - measurementStartMs) / 1000;
	await Promise.all(requests);
	report({
		bench: `path.entry_core_share.25_requests_8000_tokens_${idleStreams}_idle`, value: (usageAfter.cpuSeconds - usageBefore.cpuSeconds) / seconds, unit: 'core', bound: maxCoreShare,
	});
	report({bench: `path.entry_resident_memory.${idleStreams}_idle`, value: usageAfter.residentBytes / 1e6, unit: 'MB'});
	report({
		bench: `path.first_token_p95.${idleStreams}_idle`, value: histogram.getPercentile(95), unit: 'ms', bound: 340,
	});
}

async function measureRequestPath(report: ReportMeasurement): Promise<void> {
	const system = await startSystem({
		entries: 1,
		controls: 1,
		engines: 2,
		services: 0,
		engineFlags: ['--prefill-rate', '200000', '--decode-ms', '10', '--slots', '128'],
		entryFlags: ['--log-level', '1'],
	});

	try {
		await system.runCli(['preset', 'adjust', 'ordinary', 'limits.short.concurrent=5000', 'limits.short.perSecond=5000']);
		await sleep(1000);
		await measureAddedLatency(system, report);
		await measureLoad(system, 0, report);
	} finally {
		await system.stop();
	}
}

export const pathBenchmark: Benchmark = {
	area: 'path',
	isDefault: true,
	description: 'latency that an entry adds, and its cost in processor time and memory at its share of the target load',
	run: measureRequestPath,
};
