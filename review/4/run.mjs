/* eslint camelcase: 'off', no-await-in-loop: 'off' -- messages have the field names of the users' protocol, and the steps of a case follow one another */
// A gateway is killed while it forwards streams that have neither a length nor chunks.
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	createManifest, createRoute, hasTrouble, openWorker, runCase, waitFor,
} from '../lib/system.mjs';

const eventCount = 30;
const eventIntervalMs = 100;
const streamCount = 10;
const killAfterMs = 1500;

function answerUnframed(_request, response) {
	// Neither a length nor chunks: the answer ends with its connection.
	response.useChunkedEncodingByDefault = false;
	response.shouldKeepAlive = false;
	response.writeHead(200, {'content-type': 'text/event-stream', connection: 'close'});
	let sent = 0;
	const timer = setInterval(() => {
		sent++;
		response.write(`id: ${sent}\ndata: piece ${sent} of ${eventCount}\n\n`);

		if (sent === eventCount) {
			clearInterval(timer);
			response.end();
		}
	}, eventIntervalMs);
	response.on('close', () => {
		clearInterval(timer);
	});
}

function describeFraming(head) {
	const isChunked = /^transfer-encoding:.*chunked/imv.test(head);

	return isChunked ? 'chunks' : (/^content-length:/imv.test(head) ? 'a length' : 'no length and no chunks');
}

// Whether a requester takes the answer for whole: by its last chunk, by its length, or by the end of its connection, which was not reset, after an event.
function isWhole({head, body, end}) {
	switch (describeFraming(head)) {
		case 'chunks': {
			return body.endsWith('0\r\n\r\n');
		}

		case 'a length': {
			return body.length >= Number(/^content-length: (?<bytes>\d+)/imv.exec(head).groups.bytes);
		}

		default: {
			return end === 'end' && body.endsWith('\n\n');
		}
	}
}

// A requester at the level of its connection: an end is told from a reset.
async function readStream(system, gateway, {target, id}) {
	system.record.write(`sent ${id} to ${gateway.name}: POST ${target}`);

	return new Promise(resolve => {
		let received = '';
		let end = 'open';
		const socket = net.connect(system.ports.caller, gateway.ip, () => {
			socket.write(`POST ${target} HTTP/1.1\r\nHost: works.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: 10000\r\nAuthorization: Token key-of-o\r\nContent-Length: 2\r\n\r\nhi`);
		});
		socket.on('data', bytes => {
			received += String(bytes);
		});
		socket.on('end', () => {
			end = 'end';
		});
		socket.on('error', error => {
			end = error.code;
		});
		socket.on('close', () => {
			const [head, ...rest] = received.split('\r\n\r\n');
			const body = rest.join('\r\n\r\n');
			resolve({
				status: Number(head.split(' ')[1]), body, end,
				framing: describeFraming(head), isWhole: isWhole({head, body, end}),
				hasSeal: /^response-seal:/imv.test(head),
				events: (body.match(/^id: /gmv) ?? []).length,
			});
		});
	});
}

await runCase({recordFile: new URL('record.txt', import.meta.url)}, async ({record, start}) => {
	const system = await start({coordinators: 3, gateways: 5});
	await openWorker(system, {
		id: 'i-1', service: 'app', lastOctet: 201, answer: answerUnframed,
	});
	await openWorker(system, {
		id: 'i-2', service: 'app', lastOctet: 202, answer: answerUnframed,
	});
	await system.change('/config/replace', createManifest(1, {
		routes: [
			createRoute('story', 'app', 'streaming', {timeout_ms: 10_000, resumable: true, target_gap_ms: 300}),
			createRoute('tale', 'app', 'streaming', {timeout_ms: 10_000, target_gap_ms: 300}),
		],
		services: ['app'],
	}));
	const [gateway] = system.gateways;
	await waitFor('the gateway is ready', async () => system.isReady(gateway));
	await sleep(2000);
	const streams = Array.from({length: streamCount}, async (_, index) => readStream(system, gateway, {target: index % 2 === 0 ? '/story/1' : '/tale/1', id: `r-${index}`}));
	await sleep(killAfterMs);

	if (hasTrouble) {
		record.write(`SIGKILL to ${gateway.name}, which forwards ${streamCount} streams`);
		await system.kill(gateway);
	}

	const answers = await Promise.all(streams);
	let broken = 0;

	for (const [index, {status, end, events, framing, hasSeal, isWhole: looksWhole}] of answers.entries()) {
		const looksComplete = status === 200 && hasSeal && looksWhole;
		broken += looksComplete && events < eventCount ? 1 : 0;
		record.write(`answered r-${index}: status ${status}, ${events} of ${eventCount} events, ${framing}, connection: ${end}, looks ${looksComplete ? 'complete' : 'broken off'}`);
	}

	record.write(`${broken} of ${streamCount} streams ended as complete before their last piece`);

	return broken > 0;
});
