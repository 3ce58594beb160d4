import test from 'ava';
import {InstanceStage, type InstanceRecord} from '@fescuestair/instances';
import {describeRunOrigin} from '../../run-origin.js';
import {type PooledInstance} from '../../pooled-instance.js';

const sentTo: InstanceRecord = {
	id: 'i-1', service: 'app', address: '10.0.0.9:8080', availabilityZone: 'north', softwareVersion: 'v1', slots: 6, stage: InstanceStage.Ready, coldLeftMs: 0, models: [],
	incarnation: 1, sequence: 1,
};

for (const [description, newest, expected] of [
	['is that of its record', sentTo, 'v1'],
	['stays where its instance is forgotten', undefined, 'v1'],
	['stays where its instance is back with the same software', {...sentTo, incarnation: 2}, 'v1'],
	['is unknown where its instance is back with other software', {...sentTo, incarnation: 2, softwareVersion: 'v2'}, undefined],
	['is unknown where its instance is back and names no software', {...sentTo, incarnation: 2, softwareVersion: undefined}, undefined],
] as const) {
	test(`the software version of a run ${description}`, t => {
		const instancePool = {get: () => newest && {held: {record: newest}} as unknown as PooledInstance};
		t.deepEqual(describeRunOrigin(instancePool, sentTo), {service: 'app', softwareVersion: expected});
	});
}
