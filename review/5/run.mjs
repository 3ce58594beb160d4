/* eslint camelcase: 'off', no-await-in-loop: 'off' -- messages have the field names of the users' protocol, and the steps of a case follow one another */
// All processes are killed after a worker has deregistered; a late ping of it makes it serve again.
import {setTimeout as sleep} from 'node:timers/promises';
import {
	bounds, createManifest, createRoute, hasTrouble, openWorker, runCase, sendRequest, waitFor,
} from '../lib/system.mjs';

const workMs = 400;
const requestIntervalMs = 40;
const killAfterMs = 500;
const pingDelayMs = 4800;
/** The worker goes on serving for so long after its deregistration was acknowledged, and then exits. */
const servesOnMs = 11_000;

await runCase({recordFile: new URL('record.txt', import.meta.url)}, async ({record, start}) => {
	const system = await start({coordinators: 3, gateways: 2});
	const all = [...system.coordinators, ...system.gateways];
	const answer = (request, response) => {
		setTimeout(() => {
			response.end(`answer to ${request.headers['request-id']}`);
		}, workMs);
	};

	await openWorker(system, {
		id: 'i-1', service: 'app', lastOctet: 201, answer,
	});
	await openWorker(system, {
		id: 'i-2', service: 'app', lastOctet: 202, answer,
	});
	const leaving = await openWorker(system, {
		id: 'i-3', service: 'app', lastOctet: 203, answer,
	});
	await system.change('/config/replace', createManifest(1, {routes: [createRoute('entry', 'app', 'unsafe')], services: ['app']}));
	const areAllReady = async () => {
		const readiness = await Promise.all(system.gateways.map(async gateway => system.isReady(gateway)));

		return readiness.every(Boolean);
	};

	await waitFor('the gateways are ready', areAllReady);
	await sleep(bounds.contactMs);

	const answers = [];
	const sentAtMs = new Map();
	let requests = 0;
	const send = async () => {
		requests++;
		const id = `r-${requests}`;
		sentAtMs.set(id, performance.now());
		const {status, isWhole, error} = await sendRequest(system, system.gateways[requests % system.gateways.length], {
			target: '/entry/1', id, method: 'POST', body: 'x',
		});
		answers.push({
			id, status, isWhole, error,
		});
	};

	const stopTraffic = system.repeat(() => {
		send();
	}, requestIntervalMs);
	await sleep(1000);
	record.write(`${leaving.ran.length} requests ran at i-3 before it left`);

	// Its last ping is on its way for some seconds.
	leaving.stopAnnouncing();
	const latePing = leaving.describe();
	const {status} = await leaving.announceAt(system.coordinators[0], leaving.describe(), 'deregister');
	const deregisteredAtMs = performance.now();
	record.write(`deregistration of i-3 answered ${status} by ${system.coordinators[0].name}`);
	let backAtMs = deregisteredAtMs;

	if (hasTrouble) {
		await sleep(killAfterMs);
		record.write('SIGKILL to all coordinators and gateways');
		await Promise.all(all.map(async daemon => system.kill(daemon)));
		await Promise.all(all.map(async daemon => system.start(daemon)));
		backAtMs = performance.now();
		await waitFor('the gateways are ready again', areAllReady);
		record.write(`all were started again ${Math.round(backAtMs - deregisteredAtMs)} ms after the deregistration; the gateways are ready`);
	}

	await sleep(Math.max(0, deregisteredAtMs + pingDelayMs - performance.now()));
	const late = await leaving.announceAt(system.coordinators[1], latePing);
	record.write(`ping of i-3 from before its deregistration, ${pingDelayMs} ms late, answered ${late.status} by ${system.coordinators[1].name}`);
	await sleep(Math.max(0, deregisteredAtMs + servesOnMs - performance.now()));
	leaving.server.close();
	leaving.server.closeAllConnections();
	record.write('i-3 exits');
	await sleep(500);
	stopTraffic();
	await sleep(1500);

	// Machines are in touch again `contactMs` after the last start; twice that is granted, as after a final fault.
	const countsFromMs = Math.max(deregisteredAtMs + bounds.drainMs, backAtMs + (2 * bounds.contactMs));
	const lateRuns = leaving.ran.filter(({requestId, atMs}) => atMs > countsFromMs && sentAtMs.get(requestId) > countsFromMs);
	const lateIds = new Set(lateRuns.map(({requestId}) => requestId));
	const lost = answers.filter(({id, status: answered, isWhole}) => lateIds.has(id) && !(answered === 200 && isWhole));
	record.write(`${lateRuns.length} requests reached i-3 from gateways in touch later than ${bounds.drainMs} ms after its deregistration was acknowledged`);
	record.write(`${lost.length} of them were lost as it exited`);

	return lateRuns.length > 0;
});
