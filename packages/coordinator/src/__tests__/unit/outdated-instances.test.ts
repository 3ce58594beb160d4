import test from 'ava';
import {createManualClock} from '@fescuestair/core';
import {OrderObstacle, type OutdatedInstance} from '../../index.js';
import {createOutdatedInstances} from '../../outdated-instances.js';

const createOutdated = (instanceId: string, obstacle?: OrderObstacle): OutdatedInstance => ({
	instanceId, address: `${instanceId}:1`, model: 'guide', version: 2, currentVersion: 1, obstacle,
});

test('an instance that stays on older weights is logged from time to time, with its last order and what keeps it from the next one', t => {
	const clock = createManualClock(0);
	const lines: Array<readonly [string, Readonly<Record<string, unknown>>]> = [];
	const outdatedInstances = createOutdatedInstances({
		clock,
		log: {
			warn(message, fields) {
				lines.push([message, fields]);
			},
		},
	});

	while (clock.readMonotonicMs() < 16_000) {
		outdatedInstances.replace([createOutdated('a', OrderObstacle.BackingOff), ...(clock.readMonotonicMs() < 3000 ? [createOutdated('b')] : [])]);
		clock.advance(200);

		if (clock.readMonotonicMs() === 1000) {
			outdatedInstances.recordOutcome(createOutdated('a'), 'conflict');
		}
	}

	t.deepEqual(
		lines.map(([message, {id, obstacle, forMs}]) => [message, id, obstacle, forMs]),
		[5000, 10_000, 15_000].map(forMs => ['instance stays on older weights', 'a', OrderObstacle.BackingOff, forMs]),
	);
	t.deepEqual(lines[0]![1].lastOrder, {outcome: 'conflict', version: 2, agoMs: 4000});
	t.is(outdatedInstances.countOverdue(), 1);
	outdatedInstances.clear();
	t.is(outdatedInstances.countOverdue(), 0);
});
