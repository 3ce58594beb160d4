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

// A requester at the level of its connection: an end is told from a reset.
async function readStream(system, gateway, {target, id}) {
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
				isUnframed: !/^(?:content-length|transfer-encoding):/imv.test(head),
				hasSeal: /^response-seal:/imv.test(head),
				events: (body.match(/^id: /gmv) ?? []).length,
				endsAfterEvent: body.endsWith('\n\n'),
			});
		});
	});
}

await runCase(new URL('.', import.meta.url).pathname, async ({record, start}) => {
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

	for (const [index, {status, end, events, isUnframed, hasSeal, endsAfterEvent}] of answers.entries()) {
		// What a requester takes for complete: a success without length or chunks whose connection ended, and was not reset, after an event.
		const looksComplete = status === 200 && hasSeal && isUnframed && end === 'end' && endsAfterEvent;
		const isBroken = looksComplete && events < eventCount;
		broken += isBroken ? 1 : 0;
		const framing = isUnframed ? 'no length and no chunks' : 'framed';
		record.write(`r-${index}: status ${status}, ${events} of ${eventCount} events, connection: ${end}, ${framing}, looks ${looksComplete ? 'complete' : 'broken off'}`);
	}

	record.write(`${broken} of ${streamCount} streams ended as complete before their last piece`);

	return broken > 0;
});
