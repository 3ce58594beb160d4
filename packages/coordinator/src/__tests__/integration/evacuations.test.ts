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

// A leader that is alone goes on leading until it hears of another one.
for (const isLeaderAsked of [true, false]) {
	test(`an evacuation is not acknowledged without a majority by a coordinator that ${isLeaderAsked ? 'led' : 'did not lead'}`, async t => {
		const deployment = await openDeployment(t, {names, seeds: names, lossesBorne: 1});
		const coordinators = new Map(await Promise.all(names.map(async name => [name, await deployment.start(name)] as const)));
		await putUntilAccepted(coordinators.get('core-1')!, 1);
		const leader = await deployment.findLeader();
		const asked = isLeaderAsked ? leader : names.find(name => name !== leader)!;
		await Promise.all(names.filter(name => name !== asked && name !== leader).map(async name => coordinators.get(name)!.stop()));

		if (!isLeaderAsked) {
			await coordinators.get(leader)!.stop();
		}

		const {outcome} = await coordinators.get(asked)!.changeEvacuation('any', EvacuationStep.Begin);
		t.is(outcome, ChangeOutcome.Unavailable);
	});
}
