import test from 'ava';
import {decideFounding, FoundingStepKind, type FoundingReport} from '../../index.js';

const addresses = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1'];
const [founder, second, third] = addresses.map((address, position): FoundingReport => ({
	id: `core-${position + 1}.a`, address, isEmpty: true,
})) as [FoundingReport, FoundingReport, FoundingReport];
const promised = (report: FoundingReport, groupId = 'g'): FoundingReport => ({...report, groupId});

test('the founder chooses a group once all first members are known to be empty, collects their promises and then creates it', t => {
	t.deepEqual(decideFounding({own: founder, addresses, reports: [second, third]}), {kind: FoundingStepKind.Choose, previousGroupId: undefined});
	t.deepEqual(decideFounding({own: promised(founder), addresses, reports: [promised(second), third]}), {kind: FoundingStepKind.Invite, invitees: [third]});
	t.deepEqual(decideFounding({own: promised(founder), addresses, reports: [promised(third), promised(second)]}), {
		kind: FoundingStepKind.Create,
		members: [founder, second, third].map(({id, address}) => ({
			id, name: address, address, isVoter: true,
		})),
	});
});

test('nothing is founded while a first member has not reported, holds entries or belongs to a group', t => {
	for (const reports of [
		[],
		[second],
		[second, {...third, isEmpty: false}],
		[second, {...third, address: '10.0.0.4:1'}],
		// The third belongs to a group whose founder and second member lost their disks.
		[second, promised(third)],
		[promised(second, 'h'), promised(third)],
	]) {
		t.deepEqual(decideFounding({own: founder, addresses, reports}), {kind: FoundingStepKind.Wait}, `${JSON.stringify(reports)}`);
	}

	t.deepEqual(decideFounding({own: {...founder, isEmpty: false}, addresses, reports: [second, third]}), {kind: FoundingStepKind.Wait});
	t.deepEqual(decideFounding({own: second, addresses, reports: [founder, third]}), {kind: FoundingStepKind.Wait}, 'it is not the founder');
});

test('a founder that lost its disk before anything was committed founds another group with those that had promised', t => {
	t.deepEqual(decideFounding({own: founder, addresses, reports: [promised(second), promised(third)]}), {kind: FoundingStepKind.Choose, previousGroupId: 'g'});
});

test('a single first member founds its group alone', t => {
	t.is(decideFounding({own: founder, addresses: [founder.address], reports: []}).kind, FoundingStepKind.Choose);
	t.is(decideFounding({own: promised(founder), addresses: [founder.address], reports: []}).kind, FoundingStepKind.Create);
});
