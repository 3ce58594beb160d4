import test from 'ava';
import fc from 'fast-check';
import {
	addParts, answerFromMirror, answerPoll, createPartsIndex, createPartsMirror, createPartsView, removeLostParts, isEncodedPartsReply, encodePartsReply, applyMirrorReply,
	applyPartsReply, decodePartsReply, type PartsIndex, type PartsMirror, type PartsReply, type PartsView,
} from '../../index.js';

const part = (number: number) => ({salt: 's', id: `p${number}`, tokens: 100 + number});

test('a gateway that polls several mirrors ends with the parts of the index, whichever mirrors it polled', t => {
	fc.assert(fc.property(fc.array(fc.tuple(fc.nat(5), fc.nat(7), fc.nat(1)), {maxLength: 80}), steps => {
		let partsIndex: PartsIndex = createPartsIndex('1');
		const mirrors: PartsMirror[] = [createPartsMirror(), createPartsMirror()];
		let view: PartsView = createPartsView();
		let nowMs = 0;

		const refreshMirror = (mirrorIndex: number) => {
			const mirror = mirrors[mirrorIndex]!;
			const {reply} = answerPoll(partsIndex, {epoch: mirror.view.epoch, revision: mirror.view.revision, used: []}, nowMs);
			mirrors[mirrorIndex] = applyMirrorReply(mirror, reply, nowMs);
		};

		const pollMirror = (mirrorIndex: number) => {
			const answer = answerFromMirror(mirrors[mirrorIndex]!, {epoch: view.epoch, revision: view.revision, used: []}, nowMs);
			view = answer === undefined ? view : applyPartsReply(view, answer.reply, nowMs - answer.ageMs);
		};

		for (const [action, number, mirrorIndex] of steps) {
			nowMs += 10;

			if (action < 2) {
				partsIndex = addParts(partsIndex, {storeAddress: `store-${action}`, parts: [part(number)], clockMs: nowMs});
			} else if (action === 2) {
				partsIndex = removeLostParts(partsIndex, one => one.id === `p${number}`);
			} else if (action === 3) {
				refreshMirror(mirrorIndex);
			} else {
				pollMirror(mirrorIndex);
			}
		}

		refreshMirror(0);
		pollMirror(0);
		t.deepEqual([...view.locations.keys()].toSorted(), [...partsIndex.parts.keys()].toSorted());

		for (const [key, place] of view.locations) {
			t.is(place.storeAddress, partsIndex.parts.get(key)!.storeAddress);
		}
	}), {seed: 11, numRuns: 300});
});

test('a mirror reports its age with its reply, and the reply keeps the clock of the last refresh', t => {
	const partsIndex = addParts(createPartsIndex('1'), {storeAddress: 'store', parts: [part(1)], clockMs: 0});
	const mirror = applyMirrorReply(createPartsMirror(), answerPoll(partsIndex, {epoch: undefined, revision: 0, used: []}, 5000).reply, 100);
	const answer = answerFromMirror(mirror, {epoch: undefined, revision: 0, used: []}, 900)!;
	t.is(answer.ageMs, 800);
	t.is(answer.reply.clockMs, 5000);
	t.is(answerFromMirror(createPartsMirror(), {epoch: undefined, revision: 0, used: []}, 0), undefined);
});

test('a reply decodes to what was encoded, and positions out of range are rejected', t => {
	const reply: PartsReply = {
		epoch: '1', revision: 7, clockMs: 12.5, isWhole: false,
		added: [{...part(1), storeAddress: 'a'}, {...part(2), salt: 'other/salt', storeAddress: 'b'}, {...part(3), storeAddress: 'a'}],
		removed: ['s p9', 'third p8'],
	};
	const encoded = encodePartsReply(reply);
	t.true(isEncodedPartsReply(encoded));
	t.deepEqual(decodePartsReply(encoded), reply);
	t.deepEqual([encoded.salts, encoded.stores], [['s', 'other/salt', 'third'], ['a', 'b']]);

	for (const bad of [{added: [[3, 'p', 1, 0]]}, {added: [[0, 'p', 1, 2]]}, {removed: [[3, 'p']]}, {added: [[0, 'p', -1, 0]]}, {salts: [1]}, {clockMs: Number.NaN}]) {
		t.false(isEncodedPartsReply({...encoded, ...bad}));
	}
});
