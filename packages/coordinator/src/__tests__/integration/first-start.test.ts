import test from 'ava';
import {openDeployment, putUntilAccepted, readVersion} from './deployment.js';

const names = ['core-1', 'core-2', 'core-3', 'core-4', 'core-5'];

// The leader keeps running, so it knows what the two had acknowledged.
test('coordinators whose disks are lost join as new members, although the first start is still set, and the group goes on', async t => {
	const deployment = await openDeployment(t, {
		names, seeds: names.slice(0, 3), lossesBorne: 2, isFirstStartKept: true,
	});
	const running = new Map(await Promise.all(names.map(async name => [name, await deployment.start(name)] as const)));
	await putUntilAccepted(running.get('core-4')!, 1);
	const leader = await deployment.findLeader();
	const lost = names.slice(0, 3).filter(name => name !== leader).slice(0, 2);
	const before = await Promise.all(lost.map(async name => deployment.readIdentity(name)));

	for (const name of lost) {
		await running.get(name)!.stop();
		await deployment.wipe(name);
	}

	const restarted = await Promise.all(lost.map(async name => deployment.start(name)));
	const after = await Promise.all(lost.map(async name => deployment.readIdentity(name)));
	t.is(new Set([...before, ...after].map(identity => identity.id)).size, 4, 'no identity comes back');
	await putUntilAccepted(restarted[0]!, 2);
	t.is(await readVersion(restarted[1]!), 2);
});
