import test from 'ava';
import fc from 'fast-check';
import {
	addParts, answerFromMirror, answerPoll, createKeeper, createPartsMirror, createPartsView, dropParts, isEncodedPartsReply, encodePartsReply, takeMirrorReply,
	takePartsReply, decodePartsReply, type Keeper, type PartsMirror, type PartsReply, type PartsView,
} from '../../index.js';

const part = (number: number) => ({salt: 's', id: `p${number}`, tokens: 100 + number});

test('a gateway behind mirrors comes to see what the keeper has, whichever mirror it asks', t => {
	fc.assert(fc.property(fc.array(fc.tuple(fc.nat(5), fc.nat(7), fc.nat(1)), {maxLength: 80}), steps => {
		let keeper: Keeper = createKeeper('1');
		const mirrors: PartsMirror[] = [createPartsMirror(), createPartsMirror()];
		let view: PartsView = createPartsView();
		let nowMs = 0;

		const refresh = (which: number) => {
			const mirror = mirrors[which]!;
			const {reply} = answerPoll(keeper, {epoch: mirror.view.epoch, revision: mirror.view.revision, used: []}, nowMs);
			mirrors[which] = takeMirrorReply(mirror, reply, nowMs);
		};

		const ask = (which: number) => {
			const answer = answerFromMirror(mirrors[which]!, {epoch: view.epoch, revision: view.revision, used: []}, nowMs);
			view = answer === undefined ? view : takePartsReply(view, answer.reply, nowMs - answer.ageMs);
		};

		for (const [action, number, which] of steps) {
			nowMs += 10;

			if (action < 2) {
				keeper = addParts(keeper, {storeAddress: `store-${action}`, parts: [part(number)], clockMs: nowMs});
			} else if (action === 2) {
				keeper = dropParts(keeper, one => one.id === `p${number}`);
			} else if (action === 3) {
				refresh(which);
			} else {
				ask(which);
			}
		}

		refresh(0);
		ask(0);
		t.deepEqual([...view.places.keys()].toSorted(), [...keeper.parts.keys()].toSorted());

		for (const [key, place] of view.places) {
			t.is(place.storeAddress, keeper.parts.get(key)!.storeAddress);
		}
	}), {seed: 11, numRuns: 300});
});

test('the age of a mirror counts as the age of the view', t => {
	const keeper = addParts(createKeeper('1'), {storeAddress: 'store', parts: [part(1)], clockMs: 0});
	const mirror = takeMirrorReply(createPartsMirror(), answerPoll(keeper, {epoch: undefined, revision: 0, used: []}, 5000).reply, 100);
	const answer = answerFromMirror(mirror, {epoch: undefined, revision: 0, used: []}, 900)!;
	t.is(answer.ageMs, 800);
	t.is(answer.reply.clockMs, 5000);
	t.is(answerFromMirror(createPartsMirror(), {epoch: undefined, revision: 0, used: []}, 0), undefined);
});

test('a reply is the same after it travelled, and positions out of range are refused', t => {
	const reply: PartsReply = {
		epoch: '1', revision: 7, clockMs: 12.5, isWhole: false,
		added: [{...part(1), storeAddress: 'a'}, {...part(2), salt: 'other/salt', storeAddress: 'b'}, {...part(3), storeAddress: 'a'}],
		removed: ['s p9', 'third p8'],
	};
	const packed = encodePartsReply(reply);
	t.true(isEncodedPartsReply(packed));
	t.deepEqual(decodePartsReply(packed), reply);
	t.deepEqual([packed.salts, packed.stores], [['s', 'other/salt', 'third'], ['a', 'b']]);

	for (const bad of [{added: [[3, 'p', 1, 0]]}, {added: [[0, 'p', 1, 2]]}, {removed: [[3, 'p']]}, {added: [[0, 'p', -1, 0]]}, {salts: [1]}, {clockMs: Number.NaN}]) {
		t.false(isEncodedPartsReply({...packed, ...bad}));
	}
});
