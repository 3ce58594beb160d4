import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {createSystemClock} from '@fescuestair/core';
import {createLog} from '@fescuestair/runtime';
import {createPartKeeper} from '../../part-keeper.js';

const address = '127.0.0.9:1';
const part = {salt: 'shared/guide/1', id: 'p1', tokens: 100};

// A keeper before one store that holds one part; `office` is the term in which it leads.
const openKeeper = (t: ExecutionContext) => {
	const office: {term: number | undefined} = {term: 1};
	const calls = {listed: 0, freed: 0};
	const keeper = createPartKeeper({
		clock: createSystemClock(),
		log: createLog({instance: 'test', isTerminal: false, writeLine: () => true}),
		listStores: () => [{
			address, availabilityZone: 'north', capacityTokens: 1000, linkMegabitsPerSecond: 1000, firstByteMs: 1, isManaged: true,
		}] as never,
		getWeights: () => new Map(),
		getLeadingTerm: () => office.term,
		client: {
			async fetchEvents({cursor}) {
				await sleep(50);

				return {
					bootId: 'boot', cursor, isLossy: false, events: [], clockMs: 1000 + performance.now(),
				};
			},
			async listParts() {
				calls.listed++;

				return {
					bootId: 'boot', cursor: 1, whole: [part], unfinished: [],
				};
			},
			async freeParts() {
				calls.freed++;

				return true;
			},
		},
	});
	t.teardown(() => {
		keeper.stop();
	});
	const ask = () => keeper.answer({epoch: undefined, revision: 0, used: []});
	const waitFor = async (check: () => boolean) => {
		while (!check()) {
			await sleep(10);
		}
	};

	return {
		ask, calls, office, waitFor,
	};
};

test('a leader whose lease lapses for a moment says nothing meanwhile, and knows its parts when it leads again', async t => {
	const {ask, calls, office, waitFor} = openKeeper(t);
	await waitFor(() => ask()?.added.length === 1);
	const {epoch} = ask()!;
	office.term = undefined;
	t.is(ask(), undefined);
	await sleep(600);
	t.is(ask(), undefined);
	office.term = 1;
	t.like(ask(), {epoch, added: [{id: 'p1'}]});
	t.is(calls.listed, 1);
});

test('in another term everything is read again', async t => {
	const {ask, calls, office, waitFor} = openKeeper(t);
	await waitFor(() => ask()?.added.length === 1);
	office.term = 2;
	t.is(ask(), undefined);
	await waitFor(() => ask()?.added.length === 1);
	t.is(ask()?.epoch, '2');
	t.is(calls.listed, 2);
});
