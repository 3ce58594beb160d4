import process from 'node:process';
import {createSystemClock} from '@fescuestair/core';
import {createLinkCommands} from '@fescuestair/protocol';
import {
	createLogger, createPermitClient, createPermitGrantor, createRequestLimits, openCommandListener,
} from '@fescuestair/runtime';
import {createLinks} from '@fescuestair/transport';
import {type ReportMeasurement} from './report.js';

const clock = createSystemClock();
const log = createLogger({instance: 'bench', isTerminal: false, writeLine: () => true});
const leaderAddress = '127.0.0.1:9701';
const homeAddress = '127.0.0.1:9702';
const run = {id: 'i-1', incarnation: 1};
const perSecond = 1e6;
const questionCount = 4000;
const leaseMs = 0;

/** Opens a replica that grants permits, or relays to the leader. */
async function openReplica(listen: string, {isLeader}: {readonly isLeader: boolean}) {
	const commands = createLinkCommands({onFault: () => undefined});
	const links = createLinks({getKeys: undefined});
	const grantor = createPermitGrantor({
		clock, links, log, commands, requestLimits: createRequestLimits({clock, log}), getLeadingTerm: () => isLeader ? 1 : undefined,
		findLeaderAddress: () => leaderAddress, leaseMs,
	});
	const server = await openCommandListener({
		listen, getKeys: undefined, commands, log,
	});

	return async () => {
		grantor.stop();
		links.close();
		await server.close();
	};
}

/**
Measures the processor time of a question for a permit at its three ends together: gateway, home and leader, in one process and over loopback.

@example
```
await measurePermitCost(report);
```
*/
export async function measurePermitCost(report: ReportMeasurement): Promise<void> {
	const closers = [await openReplica(leaderAddress, {isLeader: true}), await openReplica(homeAddress, {isLeader: false})];
	const links = createLinks({getKeys: undefined});
	const requestLimits = createRequestLimits({clock, log});
	const permits = createPermitClient({
		clock, links, log, requestLimits, getGrantorAddress: () => homeAddress, count: () => undefined,
	});
	requestLimits.recordAnswer(run, {perSecond, hasRun: true, sentAtMs: 0});

	for (const together of [1, 5, 20]) {
		const before = process.cpuUsage();

		for (let asked = 0; asked < questionCount; asked += together) {
			await Promise.all(Array.from({length: together}, async () => permits.reserve(run, {maxWaitMs: 0, priority: 0})));
			permits.reopen(run.id);
		}

		const {user, system} = process.cpuUsage(before);
		report({bench: `capacity.permit_question_core_time.${together}_together`, value: (user + system) / questionCount, unit: 'µs'});
	}

	permits.stop();
	links.close();
	await Promise.all(closers.map(async close => close()));
}
