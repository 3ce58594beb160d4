import test from 'ava';
import {
	forgetConnectionLosses, noConnectionLosses, recordConnectionLoss, takeCrashedRequests,
} from '../../index.js';

const request = {traits: ['request same'], sentAtMs: 0};

test('a connection lost to an instance that continues to answer is not a crash', t => {
	let losses = recordConnectionLoss(noConnectionLosses, {run: 'a 1', request, nowMs: 100});
	// The answer to a request sent before the loss proves nothing.
	losses = forgetConnectionLosses(losses, {run: 'a 1', sentAtMs: 90});
	t.deepEqual(takeCrashedRequests(losses, {run: 'a 1', nowMs: 120}).requests, [request]);
	losses = forgetConnectionLosses(losses, {run: 'a 1', sentAtMs: 110});
	t.deepEqual(takeCrashedRequests(losses, {run: 'a 1', nowMs: 120}).requests, []);
});

test('an instance that is lost much later did not crash because of an earlier connection loss', t => {
	const losses = recordConnectionLoss(noConnectionLosses, {run: 'a 1', request, nowMs: 0});
	t.deepEqual(takeCrashedRequests(losses, {run: 'a 1', nowMs: 30_000}).requests, []);
});

test('the requests lost in a crash are taken once, with the time of the first loss', t => {
	let losses = recordConnectionLoss(noConnectionLosses, {run: 'a 1', request, nowMs: 100});
	losses = recordConnectionLoss(losses, {run: 'a 1', request: {traits: ['request other'], sentAtMs: 20}, nowMs: 130});
	const taken = takeCrashedRequests(losses, {run: 'a 1', nowMs: 150});
	t.is(taken.atMs, 100);
	t.is(taken.requests.length, 2);
	t.deepEqual(takeCrashedRequests(taken.losses, {run: 'a 1', nowMs: 160}).requests, []);
});
