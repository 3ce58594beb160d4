import test from 'ava';
import {
	maxReservationMs, reservePermit, type PermitAccount, type PermitQuery,
} from '../../reserve-permit.js';

const query: PermitQuery = {perSecond: 4, maxWaitMs: 0, openAtMs: 0};

// Asks every `stepMs` and returns the times at which the permits begin.
const askRepeatedly = (options: {readonly fromMs: number; readonly toMs: number; readonly stepMs: number; readonly account?: PermitAccount; readonly query?: Partial<PermitQuery>}) => {
	let {account} = options;
	const startsMs: number[] = [];

	for (let nowMs = options.fromMs; nowMs < options.toMs; nowMs += options.stepMs) {
		const reservation = reservePermit(account, {...query, ...options.query}, nowMs);
		account = reservation.account;

		if (reservation.startAtMs !== undefined) {
			startsMs.push(reservation.startAtMs);
		}
	}

	return {account, startsMs};
};

test('permits begin at the rate of the limit, the first after one interval', t => {
	const {startsMs} = askRepeatedly({fromMs: 1000, toMs: 6000, stepMs: 10});
	t.is(startsMs[0], 1250);
	t.is(startsMs.length, 19);
	t.true(startsMs.every((startMs, index) => index === 0 || startMs - startsMs[index - 1]! >= 250));
});

test('after a pause no more than a quarter of a second of requests is granted at once', t => {
	const perSecond = 40;
	const {account} = askRepeatedly({
		fromMs: 0, toMs: 1000, stepMs: 10, query: {perSecond},
	});
	const {startsMs} = askRepeatedly({
		fromMs: 9000, toMs: 9001, stepMs: 0.05, account, query: {perSecond},
	});
	t.is(startsMs.length, 10);
});

test('a permit is reserved ahead only as far as the request can wait, and half a second at most', t => {
	const {startsMs} = askRepeatedly({
		fromMs: 0, toMs: 1, stepMs: 0.01, query: {maxWaitMs: 5000},
	});
	t.deepEqual(startsMs, [250, 500]);
	t.true(startsMs.every(startMs => startMs <= maxReservationMs));
	t.is(reservePermit(undefined, {...query, maxWaitMs: 100}, 0).startAtMs, undefined);
});

test('refused daemons are referred to different times', t => {
	let account: PermitAccount | undefined;
	const retriesMs: number[] = [];

	for (let daemon = 0; daemon < 6; daemon++) {
		const reservation = reservePermit(account, query, 0);
		account = reservation.account;
		retriesMs.push(reservation.retryAtMs);
	}

	t.deepEqual(retriesMs, [250, 375, 500, 625, 750, 875]);
});

test('no permit begins before the account opens, as after a change of the granting daemon', t => {
	const {startsMs} = askRepeatedly({
		fromMs: 0, toMs: 3000, stepMs: 10, query: {openAtMs: 1300},
	});
	t.is(startsMs[0], 1300);
	t.true(startsMs.length <= 1 + (1700 / 250));
});

test('a limit that falls starts without a burst, one that rises keeps only what is owed', t => {
	const {account} = askRepeatedly({
		fromMs: 0, toMs: 1000, stepMs: 1, query: {perSecond: 100, maxWaitMs: 500},
	});
	const fallen = reservePermit(account, {...query, perSecond: 2, maxWaitMs: 500}, 1000);
	t.is(fallen.startAtMs, 1500);
	const risen = reservePermit(fallen.account, {...query, perSecond: 10, maxWaitMs: 500}, 1000);
	t.true(risen.startAtMs! <= 1200);
});

test('an instance that names a limit of 0 gets a request every ten seconds, so that its answer can tell of a change', t => {
	const {startsMs} = askRepeatedly({
		fromMs: 0, toMs: 60_000, stepMs: 100, query: {perSecond: 0},
	});
	t.is(startsMs.length, 5);
});
