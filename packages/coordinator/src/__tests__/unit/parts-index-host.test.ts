import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {createSystemClock} from '@fescuestair/core';
import {createLogger} from '@fescuestair/runtime';
import {createPartsIndexHost} from '../../parts-index-host.js';

const address = '127.0.0.9:1';
const part = {salt: 'shared/guide/1', id: 'p1', tokens: 100};

// Creates an index host of one store that holds one part. The replica leads in `leadership.term`, or not at all if that is `undefined`.
const createHost = (t: ExecutionContext) => {
	const leadership: {term: number | undefined} = {term: 1};
	const calls = {listed: 0, freed: 0};
	const host = createPartsIndexHost({
		clock: createSystemClock(),
		log: createLogger({instance: 'test', isTerminal: false, writeLine: () => true}),
		listStores: () => [{
			address, availabilityZone: 'north', capacityTokens: 1000, linkMegabitsPerSecond: 1000, firstByteMs: 1, isManaged: true,
		}] as never,
		getTargetVersions: () => new Map(),
		getLeadingTerm: () => leadership.term,
		client: {
			async fetchEvents({cursor}) {
				await sleep(50);

				return {
					bootId: 'boot', cursor, hasMissingEvents: false, events: [], clockMs: 1000 + performance.now(),
				};
			},
			async listParts() {
				calls.listed++;

				return {
					bootId: 'boot', cursor: 1, complete: [part], unfinished: [],
				};
			},
			async freeParts() {
				calls.freed++;

				return true;
			},
		},
	});
	t.teardown(() => {
		host.stop();
	});
	const poll = () => host.answer({epoch: undefined, revision: 0, used: []});
	const waitFor = async (check: () => boolean) => {
		while (!check()) {
			await sleep(10);
		}
	};

	return {
		poll, calls, leadership, waitFor,
	};
};

test('a leader whose lease lapses briefly answers no polls meanwhile, and keeps its index for when it regains the lease', async t => {
	const {poll, calls, leadership, waitFor} = createHost(t);
	await waitFor(() => poll()?.added.length === 1);
	const {epoch} = poll()!;
	leadership.term = undefined;
	t.is(poll(), undefined);
	await sleep(600);
	t.is(poll(), undefined);
	leadership.term = 1;
	t.like(poll(), {epoch, added: [{id: 'p1'}]});
	t.is(calls.listed, 1);
});

test('the index is rebuilt in a new term', async t => {
	const {poll, calls, leadership, waitFor} = createHost(t);
	await waitFor(() => poll()?.added.length === 1);
	leadership.term = 2;
	t.is(poll(), undefined);
	await waitFor(() => poll()?.added.length === 1);
	t.is(poll()?.epoch, '2');
	t.is(calls.listed, 2);
});
