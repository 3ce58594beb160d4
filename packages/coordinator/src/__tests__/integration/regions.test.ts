import test from 'ava';
import {ChangeOutcome} from '../../index.js';
import {openDeployment, putUntilAccepted} from './deployment.js';

test('a configuration that names a region unknown to the settings is refused with the place', async t => {
	const deployment = await openDeployment(t, {
		names: ['core-1'], seeds: ['core-1'], lossesBorne: 0, regionsByZone: new Map([['west-1', 'west']]),
	});
	const coordinator = await deployment.start('core-1');
	await putUntilAccepted(coordinator, 1);
	const put = async (region: string) => coordinator.putConfig(JSON.stringify({version: 2, routes: [{host: 'h', allowedRegions: [region]}]}));
	t.like(await put('east'), {outcome: ChangeOutcome.Invalid, findings: [{place: 'routes[0]', message: 'names region "east", which is none of west'}]});
	t.like(await put('west'), {outcome: ChangeOutcome.Accepted});
});
