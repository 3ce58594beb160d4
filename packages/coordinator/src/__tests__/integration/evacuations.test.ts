import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {EvacuationStep} from '@fescuestair/evacuations';
import {ChangeOutcome, type Coordinator} from '../../index.js';
import {openDeployment, putUntilAccepted} from './deployment.js';

const names = ['core-1', 'core-2', 'core-3'];

async function changeUntilAccepted(coordinator: Coordinator, zone: string, step: EvacuationStep): Promise<void> {
	while ((await coordinator.changeEvacuation(zone, step)).outcome !== ChangeOutcome.Accepted) { // eslint-disable-line unicorn/no-await-expression-member
		await sleep(20);
	}
}

async function waitForZones(coordinator: Coordinator, zones: readonly string[]): Promise<void> {
	while ([...coordinator.getEvacuations().zones].join(',') !== zones.join(',')) {
		await sleep(20);
	}
}

test('an evacuation is accepted by a majority, through any coordinator, and survives the stop of all', async t => {
	const deployment = await openDeployment(t, {
		names, seeds: names, lossesBorne: 1, regionsByZone: new Map([['north', 'r'], ['south', 'r']]),
	});
	const before = await Promise.all(names.map(async name => deployment.start(name)));
	await putUntilAccepted(before[0]!, 1);
	t.like(await before[0]!.changeEvacuation('elsewhere', EvacuationStep.Begin), {
		outcome: ChangeOutcome.Unknown, findings: [{place: 'zone', message: 'is none of the availability zones north, south'}],
	});
	const leader = await deployment.findLeader();
	const followers = before.filter((_, index) => names[index] !== leader);
	await changeUntilAccepted(followers[0]!, 'south', EvacuationStep.Begin);
	await changeUntilAccepted(followers[1]!, 'north', EvacuationStep.Begin);
	await changeUntilAccepted(followers[0]!, 'south', EvacuationStep.Begin);
	await Promise.all(before.map(async coordinator => waitForZones(coordinator, ['north', 'south'])));
	await Promise.all(before.map(async coordinator => coordinator.stop()));
	const after = await Promise.all(names.map(async name => deployment.start(name)));
	await Promise.all(after.map(async coordinator => waitForZones(coordinator, ['north', 'south'])));
	await changeUntilAccepted(after[2]!, 'south', EvacuationStep.Finish);
	await Promise.all(after.map(async coordinator => waitForZones(coordinator, ['north'])));
	t.true(after[0]!.getEvacuations().endedAtMs.has('south'));
});

test('an evacuation is not acknowledged without a majority', async t => {
	const deployment = await openDeployment(t, {names, seeds: names, lossesBorne: 1});
	const coordinators = await Promise.all(names.map(async name => deployment.start(name)));
	await putUntilAccepted(coordinators[0]!, 1);
	await coordinators[1]!.stop();
	await coordinators[2]!.stop();
	t.is((await coordinators[0]!.changeEvacuation('any', EvacuationStep.Begin)).outcome, ChangeOutcome.Unavailable); // eslint-disable-line unicorn/no-await-expression-member
});
