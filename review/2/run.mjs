/* eslint camelcase: 'off', no-await-in-loop: 'off' -- messages have the field names of the users' protocol, and the steps of a case follow one another */
// A worker sends a body without end: many small chunks, and no end of an event. Its gateway answers nobody meanwhile.
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	bounds, createManifest, createRoute, hasTrouble, openWorker, runCase, sendRequest, waitFor,
} from '../lib/system.mjs';

const routeTimeoutMs = 1500;
const streamTimeoutMs = 10_000;
/** The rule counts requests that have no answer this long after the timeout of their route. */
const lateMs = 500;
const leastLate = 8;
const requestIntervalMs = 50;
/** Some characters a chunk, as engines write their tokens. */
const chunk = '8\r\nnonsense\r\n';
const blockBytes = 65_536;
const streams = 4;

const events = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';
const block = Buffer.from(chunk.repeat(Math.ceil(blockBytes / chunk.length)));

function answerSoundly(request, response) {
	if (request.url.startsWith('/story/')) {
		response.writeHead(200, {'content-type': 'text/event-stream'});
		response.end(events);
	} else {
		response.end(`answer to ${request.headers['request-id']}`);
	}
}

function answerWithoutEnd(response, sent) {
	response.writeHead(200, {'content-type': 'text/event-stream'});
	response.flushHeaders();
	const {socket} = response;
	const send = () => {
		while (!socket.destroyed) {
			sent.bytes += block.length;

			if (!socket.write(block)) {
				socket.once('drain', send);

				return;
			}
		}
	};

	socket.on('error', () => undefined);
	send();
}

await runCase({recordFile: new URL('record.txt', import.meta.url)}, async ({record, start}) => {
	const system = await start({coordinators: 3, gateways: 2});
	const sent = {bytes: 0, streams: 0};
	await openWorker(system, {
		id: 'i-1', service: 'app', lastOctet: 201,
		answer(request, response) {
			if (hasTrouble) {
				sent.streams++;
				answerWithoutEnd(response, sent);
			} else {
				answerSoundly(request, response);
			}
		},
	});
	await openWorker(system, {
		id: 'i-2', service: 'app', lastOctet: 202, answer: answerSoundly,
	});
	await openWorker(system, {
		id: 'i-3', service: 'desk', lastOctet: 203, answer: answerSoundly,
	});
	await openWorker(system, {
		id: 'i-4', service: 'desk', lastOctet: 204, answer: answerSoundly,
	});
	await system.change('/config/replace', createManifest(1, {
		routes: [
			createRoute('story', 'app', 'streaming', {timeout_ms: streamTimeoutMs, resumable: true, target_gap_ms: 200}),
			createRoute('entry', 'desk', 'unsafe', {timeout_ms: routeTimeoutMs}),
		],
		services: ['app', 'desk'],
	}));
	const [gateway] = system.gateways;
	await waitFor('the gateways are ready', async () => await system.isReady(gateway) && system.isReady(system.gateways[1]));
	await sleep(bounds.contactMs);

	const requests = [];
	const stopTraffic = system.repeat(async () => {
		const request = {
			id: `entry-${requests.length + 1}`, atMs: performance.now(), tookMs: Number.POSITIVE_INFINITY, status: 0,
		};
		requests.push(request);
		const {status} = await sendRequest(system, gateway, {
			target: '/entry/1', id: request.id, method: 'POST', body: 'x', timeLeftMs: 20_000,
		});
		request.tookMs = performance.now() - request.atMs;
		request.status = status;
	}, requestIntervalMs);
	await sleep(1000);
	record.write(`${streams} requests for a stream are sent to ${gateway.name}`);
	await Promise.all(Array.from({length: streams}, async (_, index) => {
		const atMs = performance.now();
		const {status} = await sendRequest(system, gateway, {
			target: '/story/1', id: `story-${index + 1}`, method: 'POST', body: 'x', timeLeftMs: streamTimeoutMs,
		});
		record.write(`story-${index + 1}: status ${status} after ${Math.round(performance.now() - atMs)} ms`);
	}));
	await sleep(2000);
	stopTraffic();
	await waitFor('all requests are answered', async () => requests.every(({tookMs}) => Number.isFinite(tookMs)), 25_000);

	const unanswered = requests.filter(({tookMs}) => tookMs > routeTimeoutMs);
	const late = unanswered.filter(({tookMs}) => tookMs > routeTimeoutMs + lateMs);
	const longestMs = Math.round(Math.max(...requests.map(({tookMs}) => tookMs)));

	for (const {id, status, tookMs} of late) {
		record.write(`${id}: status ${status} after ${Math.round(tookMs)} ms`);
	}

	record.write(`${sent.streams} streams without end sent ${sent.bytes} bytes at most`);
	record.write(`${requests.length} requests to the other service; the longest took ${longestMs} ms`);
	record.write(`${unanswered.length} of them unanswered at their route's timeout of ${routeTimeoutMs} ms, ${late.length} of these still ${lateMs} ms later`);

	return late.length >= leastLate && late.length * 2 > unanswered.length;
});
