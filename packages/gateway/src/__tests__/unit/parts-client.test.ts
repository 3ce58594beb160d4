import test, {type ExecutionContext} from 'ava';
import {createManualClock} from '@fescuestair/core';
import {encodePartsReply, type PartsReply} from '@fescuestair/parts';
import {createLogger} from '@fescuestair/runtime';
import {createPartsClient, type PartsClientOptions} from '../../parts-client.js';

type Call = PartsClientOptions['links']['call'];

const place = {
	salt: 'shared/guide/1', id: 'p1', tokens: 100, storeAddress: '172.20.0.2:1',
};

const openClient = (t: ExecutionContext, call: Call) => {
	const parts = createPartsClient({
		getHome: () => undefined, clock: createManualClock(), log: createLogger({instance: 'test', isTerminal: false, writeLine: () => true}), links: {call},
	});
	t.teardown(() => {
		parts.stop();
	});

	return parts;
};

test('when the home stops answering, the next home is polled at once, and a late reply of the first is discarded', async t => {
	const answers = new Map<string, (reply: unknown) => void>();
	const parts = openClient(t, async address => new Promise(resolve => {
		answers.set(address, resolve);
	}));

	const answer = async (address: string, reply: PartsReply) => {
		answers.get(address)!({kind: 'parts', reply: encodePartsReply(reply), ageMs: 0});
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	};

	const whole: PartsReply = {
		epoch: '1', revision: 4, clockMs: 1000, isWhole: true, added: [place], removed: [],
	};
	parts.pollHome('silent');
	parts.pollHome('next');
	await answer('next', whole);
	t.is(parts.getView().locations.size, 1);
	t.is(parts.getView().heldTokens.get(place.storeAddress), 100);
	await answer('silent', {...whole, revision: 2, added: []});
	t.is(parts.getView().revision, 4);
	t.is(parts.getView().locations.size, 1);
});

test('a part that is being sent to a store counts as pending there until the index lists it', t => {
	const parts = openClient(t, async () => ({kind: 'noted'}));
	parts.recordSave(place);
	parts.recordSave({...place, id: 'p2', tokens: 50});
	t.is(parts.countPendingTokens(place.storeAddress), 150);
	t.is(parts.countPendingTokens('172.20.0.3:1'), 0);
	t.true(parts.isBeingSaved(place));
});
