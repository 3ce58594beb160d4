import test from 'ava';
import {ChangeOutcome} from '../../index.js';
import {openDeployment, putUntilAccepted, readVersion} from './deployment.js';

const names = ['core-1', 'core-2', 'core-3', 'core-4', 'core-5'];

test('no change is accepted before the group has enough voters, and accepted ones survive the loss of two disks', async t => {
	const deployment = await openDeployment(t, {names, seeds: names.slice(0, 3), lossesBorne: 2});
	const initial = await Promise.all(names.slice(0, 3).map(async name => deployment.start(name)));
	t.is(await readVersion(initial[0]!), 0, 'a leader was elected');
	const early = await initial[0]!.putConfig(JSON.stringify({version: 1}));
	t.is(early.outcome, ChangeOutcome.Unavailable, 'three voters do not survive the loss of two disks');

	const added = await Promise.all(names.slice(3).map(async name => deployment.start(name)));
	await putUntilAccepted(added[0]!, 2);

	// Two of the initial members lose their disks and restart empty.
	await Promise.all(initial.slice(0, 2).map(async coordinator => coordinator.stop()));
	await deployment.wipe('core-1');
	await deployment.wipe('core-2');
	t.is(await readVersion(added[1]!), 2);
	const restarted = await Promise.all(names.slice(0, 2).map(async name => deployment.start(name)));
	await putUntilAccepted(restarted[0]!, 3);
	t.is(await readVersion(restarted[1]!), 3);
});
