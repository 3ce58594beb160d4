import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {type System} from '../../index.js';
import {
	sendPrompt, sendRequest, waitUntil, withSystem, type HttpResponse,
} from './test-helpers.js';

const requestsPerSecond = 3;
/** Upstreams may exceed the rate that they name by this factor and count, over any span. */
const limitTolerance = 1.5;
const limitSlack = 5;
const msPerSecond = 1000;
const rounds = 40;
const roundIntervalMs = 100;
const entryCount = 2;
const limitFlags = ['--request-limit', String(requestsPerSecond)];

// Sends requests through both entries, and checks how many the upstream was sent and how the others were refused.
const checkLimit = async (t: ExecutionContext, send: (entry: number) => Promise<HttpResponse>) => {
	// Each entry has been told of the limit once its request is answered; the other one learns it by gossip.
	for (let entry = 0; entry < entryCount; entry++) {
		await waitUntil(async () => {
			const {status} = await send(entry);

			return status === 200;
		});
	}

	const startedAtMs = performance.now();
	const pending: Array<Promise<HttpResponse>> = [];

	for (let round = 0; round < rounds; round++) {
		for (let entry = 0; entry < entryCount; entry++) {
			pending.push(send(entry));
		}

		await sleep(roundIntervalMs);
	}

	const responses = await Promise.all(pending);
	const spanS = (performance.now() - startedAtMs) / msPerSecond;
	const served = responses.filter(({status}) => status === 200);
	const allowed = (limitTolerance * requestsPerSecond * spanS) + limitSlack;
	t.true(served.length > 0);
	t.true(served.length <= allowed, `${served.length} requests were served in ${spanS.toFixed(2)} s; allowed ${allowed.toFixed(1)}`);

	for (const {status, text, headers} of responses) {
		t.true(status === 200 || status === 503);

		if (status === 503) {
			t.regex(text, /upstream_limited/v);
			t.regex(text, /not_run/v);
			t.true(Number(headers['retry-after']) > 0);
		}
	}
};

test.serial('entries together send a service no more calls than it says that it takes, and refuse the rest with a time to return', async t => {
	await withSystem({entries: entryCount, serviceFlags: limitFlags}, async (system: System) => {
		await checkLimit(t, async entry => sendRequest(`http://${system.entries[entry]!.address}/v1/services/work-orders/orders`, {key: system.organisationKey}));
	});
});

test.serial('entries together send an engine no more prompts than it says that it takes, and refuse the rest with a time to return', async t => {
	await withSystem({entries: entryCount, engineFlags: limitFlags}, async (system: System) => {
		await checkLimit(t, async entry => sendPrompt(system, 'a short question', {entry, tokens: 3}));
	});
});
