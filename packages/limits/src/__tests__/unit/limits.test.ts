import test from 'ava';
import {
	admitRequest, createAdmission, createFairQueue, createRetryBudget, createTokenBucket, depositSuccess, enterQueue, estimateWaitMs, finishRequest, leaveQueue,
	takeTokens, withdrawRetry,
} from '../../index.js';

const limit = {concurrent: 10, perSecond: 10};

test('an organisation that exceeds its limit does not affect other organisations', t => {
	let admission = createAdmission(0.5);
	let admitted = 0;

	for (let turn = 0; turn < 100; turn++) {
		const step = admitRequest(admission, {
			organisation: 'large', requestClass: 'short', limit, nowMs: 0,
		});
		admission = step.admission;
		admitted += step.answer.isAdmitted ? 1 : 0;
	}

	t.is(admitted, 5, 'half of the limit, since this entry is one of two');
	const other = admitRequest(admission, {
		organisation: 'small', requestClass: 'short', limit, nowMs: 0,
	});
	t.true(other.answer.isAdmitted);
	const later = admitRequest(finishRequest(admission, 'large', 'short'), {
		organisation: 'large', requestClass: 'short', limit, nowMs: 1000,
	});
	t.true(later.answer.isAdmitted);
});

test('an empty token bucket reports when tokens will be available', t => {
	const empty = takeTokens(createTokenBucket({perSecond: 2, capacity: 1, nowMs: 0}), 1, 0).bucket;
	t.is(takeTokens(empty, 1, 0).waitMs, 500);
	t.is(takeTokens(empty, 1, 500).waitMs, 0);
});

test('retries are limited to a share of successes', t => {
	let budget = createRetryBudget({capacity: 2, sharePerSuccess: 0.5});
	const allowed = [1, 2, 3].map(() => {
		const step = withdrawRetry(budget);
		budget = step.budget;

		return step.isAllowed;
	});
	t.deepEqual(allowed, [true, true, false]);
	budget = depositSuccess(depositSuccess(budget));
	t.true(withdrawRetry(budget).isAllowed);
});

test('the estimated wait follows the service rate, and grows while the queue is stalled', t => {
	let queue = createFairQueue<string>();

	for (const item of ['a', 'b', 'c', 'd']) {
		queue = enterQueue(queue, {item, owner: 'o'}, 0);
	}

	queue = leaveQueue(queue, 'a', 100);
	queue = leaveQueue(queue, 'b', 200);
	t.is(estimateWaitMs(queue, {owner: 'o', nowMs: 200}), 300);
	t.is(estimateWaitMs(queue, {owner: 'o', nowMs: 5200}), 15_000);
});

test('the queue serves organisations round-robin, each in FIFO order, and estimates the wait for each', t => {
	let queue = createFairQueue<string>();

	for (const item of ['large-1', 'large-2', 'large-3', 'large-4', 'small-1', 'other-1', 'small-2', 'large-5']) {
		queue = enterQueue(queue, {item, owner: item.split('-')[0]!}, 0);
	}

	t.deepEqual(queue.waiting.map(held => held.item), ['large-1', 'small-1', 'other-1', 'large-2', 'small-2', 'large-3', 'large-4', 'large-5']);
	t.true(estimateWaitMs(queue, {owner: 'new', nowMs: 0}) < estimateWaitMs(queue, {owner: 'large', nowMs: 0}));
	queue = leaveQueue(queue, 'large-1', 0);
	queue = enterQueue(queue, {item: 'new-1', owner: 'new'}, 0);
	t.deepEqual(queue.waiting.map(held => held.item).slice(0, 5), ['small-1', 'other-1', 'large-2', 'new-1', 'small-2']);
});
