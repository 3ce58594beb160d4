/* eslint camelcase: 'off' -- messages have the field names of the users' protocol */
// A worker answers plain calls with a body without end, in small chunks. The process of the gateway runs out of memory.
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	bounds, createManifest, createRoute, hasTrouble, openWorker, runCase, sendRequest, waitFor,
} from '../lib/system.mjs';

const chunk = '8\r\nnonsense\r\n';
const blockBytes = 65_536;
const longTarget = '/entry/long';
const lookups = 20;
const requesters = 10;
const longWorkMs = 6000;
const startMs = 1000;
/** The rule allows so many. */
const mostLost = 3;

const block = Buffer.from(chunk.repeat(Math.ceil(blockBytes / chunk.length)));

function answerSoundly(request, response) {
	setTimeout(() => {
		response.end(`answer to ${request.headers['request-id']}`);
	}, request.url === longTarget ? longWorkMs : 0);
}

function answerWithoutEnd(response, sent) {
	response.writeHead(200, {'content-type': 'text/plain'});
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

/** Sends a request on a channel that the requester keeps; resolves with whether it was answered. */
async function sendOnKeptChannel(system, gateway, {agent, id, target}) {
	const {record} = system;
	record.write(`sent ${id} to ${gateway.name} on the channel that its requester keeps: POST ${target}`);

	return new Promise(resolve => {
		const request = http.request({
			host: gateway.ip, port: system.ports.caller, method: 'POST', path: target, agent,
			headers: {
				host: 'works.example', 'request-id': id, 'deadline-ms': '10000', authorization: 'Token key-of-o', 'content-length': '1',
			},
		}, response => {
			response.resume();
			response.on('close', () => {
				record.write(`answered ${id}: ${response.statusCode}${response.complete ? '' : ', not whole'}`);
				resolve(response.complete);
			});
			response.on('error', () => undefined);
		});
		request.on('error', error => {
			record.write(`not answered ${id}: ${error.code ?? error.message}`);
			resolve(false);
		});
		request.end('x');
	});
}

await runCase({recordFile: new URL('record.txt', import.meta.url)}, async ({record, start}) => {
	const system = await start({coordinators: 3, gateways: 2});
	const sent = {bytes: 0, answers: 0};
	await openWorker(system, {
		id: 'i-1', service: 'app', lastOctet: 201,
		answer(request, response) {
			if (hasTrouble) {
				sent.answers++;
				answerWithoutEnd(response, sent);
			} else {
				answerSoundly(request, response);
			}
		},
	});
	await openWorker(system, {
		id: 'i-2', service: 'app', lastOctet: 202, answer: answerSoundly,
	});
	const desk = await openWorker(system, {
		id: 'i-3', service: 'desk', lastOctet: 203, answer: answerSoundly,
	});
	await system.change('/config/replace', createManifest(1, {
		routes: [createRoute('lookup', 'app', 'safe'), createRoute('entry', 'desk', 'unsafe', {timeout_ms: 10_000})], services: ['app', 'desk'],
	}));
	const [gateway] = system.gateways;
	await waitFor('the gateway is ready', async () => system.isReady(gateway));
	await sleep(bounds.contactMs);

	// Each requester has one request answered on a channel, and sends another one on the same channel, which takes its worker some seconds.
	const runRequester = async number => {
		const agent = new http.Agent({keepAlive: true, maxSockets: 1});
		const isKept = await sendOnKeptChannel(system, gateway, {agent, id: `entry-${number}`, target: '/entry/short'});
		const id = `entry-${number}-long`;
		const isAnswered = await sendOnKeptChannel(system, gateway, {agent, id, target: longTarget});
		agent.destroy();

		return {id, isKept, isAnswered};
	};

	const running = Array.from({length: requesters}, async (_, number) => runRequester(number));
	await sleep(startMs);
	record.write(`${lookups} lookups are sent to ${gateway.name}`);
	const answers = await Promise.all(Array.from({length: lookups}, async (_, index) => sendRequest(system, gateway, {target: '/lookup/1', id: `lookup-${index}`})));
	record.write(`lookups were answered: ${answers.map(({status, error}) => error ?? status).join(' ')}`);
	const requests = await Promise.all(running);
	await sleep(startMs);

	const ranIds = new Set(desk.ran.map(({requestId}) => requestId));
	const lost = requests.filter(({id, isKept, isAnswered}) => isKept && !isAnswered && ranIds.has(id));

	for (const {id} of lost) {
		record.write(`${id}: ran at the sound worker i-3, and its kept channel was closed without an answer`);
	}

	for (const line of gateway.log.split('\n').filter(text => text.includes('FATAL ERROR'))) {
		record.write(`${gateway.name}: ${line}`);
	}

	const {signalCode} = gateway.process;
	record.write(`${sent.answers} answers without end sent ${sent.bytes} bytes at most; the process of ${gateway.name} ${signalCode === null ? 'runs' : `ended with ${signalCode}`}`);
	record.write(`${lost.length} requests from kept channels were passed on to a sound worker and not answered`);

	return lost.length > mostLost;
});
