import test from 'ava';
import {planMembershipChange, type Member} from '../../index.js';

const createVoter = (name: string): Member => ({
	id: `${name}.1`, name, address: `10.0.0.${name}:7700`, isVoter: true,
});
const voters = ['1', '2', '3'].map(name => createVoter(name));
const baseInput = {
	members: voters, candidates: [], getLastHeardAtMs: () => 1000, nowMs: 1100, wantedVoters: 3, lostMs: 2000,
};
const candidate: Member = {
	id: '9.1', name: '9', address: '10.0.0.9:7700', isVoter: false,
};

test('no change is planned for a group with all its voters, even if candidates wait', t => {
	t.is(planMembershipChange({...baseInput, candidates: [candidate]}), undefined);
});

test('a replica that lost its disk replaces the member at its address', t => {
	const replacement = {...candidate, id: '2.2', address: '10.0.0.2:7700'};
	t.deepEqual(planMembershipChange({...baseInput, candidates: [candidate, replacement]})?.at(-1), {...replacement, replaces: '2.1'});
});

test('a candidate replaces a lost voter, one at a time', t => {
	const lost = {
		...baseInput, candidates: [candidate], getLastHeardAtMs: (id: string) => id === '3.1' ? 0 : 2500, nowMs: 2600,
	};
	const next = planMembershipChange(lost)!;
	t.is(next.at(-1)?.replaces, '3.1');
	t.is(planMembershipChange({...lost, members: next}), undefined);
});

test('the group grows to the wanted number of voters', t => {
	t.is(planMembershipChange({...baseInput, wantedVoters: 5, candidates: [candidate]})?.length, 4);
});

test('a lost learner is removed', t => {
	const members = [...voters, candidate];
	t.deepEqual(planMembershipChange({
		...baseInput, members, getLastHeardAtMs: (id: string) => id === '9.1' ? 0 : 2500, nowMs: 2600,
	}), voters);
});

test('a voter from which no message was ever received does not count as lost', t => {
	t.is(planMembershipChange({
		...baseInput, candidates: [candidate], getLastHeardAtMs: () => undefined, nowMs: 9_000_000,
	}), undefined);
});
