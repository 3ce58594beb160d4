import test from 'ava';
import {ChangeOutcome} from '../../index.js';
import {openDeployment, putUntilAccepted, readVersion} from './deployment.js';

const names = ['core-1', 'core-2', 'core-3', 'core-4', 'core-5'];

test('nothing is accepted before the group bears the losses it has to, and then it outlives them', async t => {
	const deployment = await openDeployment(t, {names, seeds: names.slice(0, 3), lossesBorne: 2});
	const firsts = await Promise.all(names.slice(0, 3).map(async name => deployment.start(name)));
	t.is(await readVersion(firsts[0]!), 0, 'one leads');
	const early = await firsts[0]!.putConfig(JSON.stringify({version: 1}));
	t.is(early.outcome, ChangeOutcome.Unavailable, 'three voters lose what they agreed on with two disks');

	const others = await Promise.all(names.slice(3).map(async name => deployment.start(name)));
	await putUntilAccepted(others[0]!, 2);

	// Two of those that began are lost with their disks, and come back empty at once.
	await Promise.all(firsts.slice(0, 2).map(async coordinator => coordinator.stop()));
	await deployment.wipe('core-1');
	await deployment.wipe('core-2');
	t.is(await readVersion(others[1]!), 2);
	const again = await Promise.all(names.slice(0, 2).map(async name => deployment.start(name)));
	await putUntilAccepted(again[0]!, 3);
	t.is(await readVersion(again[1]!), 3);
});
