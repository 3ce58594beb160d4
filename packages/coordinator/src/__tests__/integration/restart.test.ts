import test from 'ava';
import {openDeployment, putUntilAccepted, readVersion} from './deployment.js';

test('a coordinator restarts after its log was compacted', async t => {
	const deployment = await openDeployment(t, {names: ['core-1'], seeds: ['core-1'], lossesBorne: 0});
	const before = await deployment.start('core-1');

	for (let version = 1; version <= 150; version++) {
		await putUntilAccepted(before, version);
	}

	await before.stop();
	const after = await deployment.start('core-1');
	t.is(await readVersion(after), 150);
});
