/* eslint camelcase: 'off', no-await-in-loop: 'off' -- messages have the field names of the users' protocol, and the steps of a case follow one another */
// Pings of another writer name a service of the manifest and an address whose port is none.
import {setTimeout as sleep} from 'node:timers/promises';
import {
	bounds, createManifest, createRoute, hasTrouble, openWorker, runCase, sendJson, sendRequest, waitFor,
} from '../lib/system.mjs';

const workMs = 120;
const requestCount = 200;
const requestIntervalMs = 30;
const pingIntervalMs = 1200;

function answer(request, response) {
	setTimeout(() => {
		response.end(`answer to ${request.headers['request-id']}`);
	}, workMs);
}

await runCase(new URL('.', import.meta.url).pathname, async ({record, start}) => {
	const system = await start({coordinators: 3, gateways: 2});
	let requests = 0;

	for (const [index, service] of ['app', 'app', 'ledger', 'ledger', 'ledger', 'ledger'].entries()) {
		await openWorker(system, {
			id: `i-${index + 1}`, service, lastOctet: 201 + index, answer,
		});
	}

	const first = createRoute('lookup', 'app', 'safe');
	const later = createRoute('entry', 'ledger', 'unsafe');
	await system.change('/config/replace', createManifest(1, {routes: [first], services: ['app', 'ledger']}));
	await waitFor('the gateways are ready', async () => await system.isReady(system.gateways[0]) && system.isReady(system.gateways[1]));
	let sequence = 0;

	const ask = async (route, method) => {
		requests++;
		const gateway = system.gateways[requests % system.gateways.length];
		const {status, headers, body} = await sendRequest(system, gateway, {
			target: `/${route}/1`, id: `r-${requests}`, method, ...(method === 'POST' && {body: 'x'}),
		});

		return {status, isServed: status === 200 && headers['response-seal'] !== undefined, body};
	};

	await waitFor('the first route is served', async () => {
		const {isServed} = await ask('lookup', 'GET');

		return isServed;
	});

	const pingAsOtherWriter = async () => {
		sequence++;
		const coordinator = system.coordinators[sequence % system.coordinators.length];
		const {status} = await sendJson({
			ip: coordinator.ip, port: system.ports.control, method: 'POST', target: '/instances/other-1/heartbeat',
			body: {
				service: 'ledger', address: `${system.prefix}.250:99999`, zone: 'north', version: 'v1', slots: 64, state: 'ready', cold_left_ms: 0, sequence, born: 1_700_000_000_000,
			},
		});

		if (sequence === 1) {
			record.write(`ping of another writer with port 99999 answered ${status} by ${coordinator.name}`);
		}
	};

	if (hasTrouble) {
		await pingAsOtherWriter();
		system.repeat(pingAsOtherWriter, pingIntervalMs);
	}

	await system.change('/config/replace', createManifest(2, {routes: [first, later], services: ['app', 'ledger']}));
	await sleep(bounds.configApplyMs + bounds.contactMs);
	const outcomes = {lookup: new Map(), entry: new Map()};
	const pending = [];
	let served = {lookup: 0, entry: 0};

	for (let round = 0; round < requestCount; round++) {
		for (const [route, method] of [['lookup', 'GET'], ['entry', 'POST']]) {
			pending.push(ask(route, method).then(({status, isServed}) => {
				served = {...served, [route]: served[route] + (isServed ? 1 : 0)};
				outcomes[route].set(status, (outcomes[route].get(status) ?? 0) + 1);
			}));
		}

		await sleep(requestIntervalMs);
	}

	await Promise.all(pending);
	record.write(`first route: ${served.lookup} of ${requestCount} served; later route: ${served.entry} of ${requestCount} served; ${JSON.stringify([...outcomes.entry])}`);

	return served.entry * 4 < served.lookup;
});
