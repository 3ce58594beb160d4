import {type Socket} from 'node:net';
import test from 'ava';
import {createReadPacer, ReadHold, type ReadGate} from '../../index.js';

const createLoop = () => {
	const turns: Array<() => void> = [];
	const delays: Array<{readonly callback: () => void; readonly delayMs: number}> = [];
	const events: string[] = [];
	let nowMs = 0;
	const pacer = createReadPacer({
		getGate: socket => ({
			hold(reason) {
				events.push(`hold ${(socket as unknown as {readonly name: string}).name} ${reason}`);
			},
			release(reason) {
				events.push(`release ${(socket as unknown as {readonly name: string}).name} ${reason}`);
			},
		} satisfies ReadGate),
		readNowMs: () => nowMs,
		runNextTurn(callback) {
			turns.push(callback);
		},
		delay(callback, delayMs) {
			delays.push({callback, delayMs});
		},
		maxPiecesPerTurn: 3,
	});
	const open = (name: string) => pacer.open({name} as unknown as Socket);

	return {
		pacer, open, events, delays,
		passTurn(tookMs = 0) {
			nowMs += tookMs;

			for (const callback of turns.splice(0)) {
				callback();
			}
		},
	};
};

// Guards against one connection that always has data and keeps all others waiting.
test('a connection beyond its share of a turn is held, and of several one at a time is read again', t => {
	const loop = createLoop();
	const recordA = loop.open('a');
	const recordB = loop.open('b');

	for (let piece = 0; piece < 5; piece++) {
		recordA();
		recordB();
	}

	t.deepEqual(loop.events.splice(0), [`hold a ${ReadHold.Pace}`, `hold b ${ReadHold.Pace}`]);
	t.is(loop.pacer.countHeld(), 2);
	loop.passTurn();
	t.deepEqual(loop.events.splice(0), [`release a ${ReadHold.Pace}`]);
	loop.passTurn(20);
	loop.passTurn(10);
	t.deepEqual(loop.events, []);
	// The loop is left to others for as long as the connection took.
	t.is(loop.delays[0]!.delayMs, 30);
	loop.delays.shift()!.callback();
	t.deepEqual(loop.events.splice(0), [`release b ${ReadHold.Pace}`]);
	t.is(loop.pacer.countHeld(), 0);
});

test('a connection that stays below its share in each turn is never held', t => {
	const loop = createLoop();
	const record = loop.open('a');

	for (let turn = 0; turn < 100; turn++) {
		record();
		record();
		loop.passTurn();
	}

	t.deepEqual(loop.events, []);
});

test('connections are released again after the last one has been', t => {
	const loop = createLoop();
	const record = loop.open('a');

	for (let round = 0; round < 3; round++) {
		record();
		record();
		record();
		t.is(loop.pacer.countHeld(), 1);
		loop.passTurn();
		loop.passTurn();
		loop.passTurn();
		loop.delays.shift()!.callback();
		t.is(loop.pacer.countHeld(), 0);
	}
});
