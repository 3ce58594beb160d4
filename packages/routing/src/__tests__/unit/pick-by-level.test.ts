import test from 'ava';
import {
	createDispatchRate, estimateUnseenRequests, pickByLevel, recordDispatch, type DispatchRate,
} from '../../index.js';

const options = [{cost: 5, costPerRequest: 8}, {cost: 5, costPerRequest: 8}, {cost: 9, costPerRequest: 8}, {cost: 90, costPerRequest: 8}];
const draws = Array.from({length: 1000}, (_, index) => (index + 0.5) / 1000);

const countPicks = (unseenRequests: number) => {
	const picked = draws.map(draw => options.indexOf(pickByLevel(options, {unseenRequests, draw})!));

	return options.map((_, index) => picked.filter(one => one === index).length);
};

test('with nothing unseen, the cheapest are equally likely and no other is picked', t => {
	t.deepEqual(countPicks(0), [500, 500, 0, 0]);
});

test('the unseen requests are spread so that all costs that they reach end at one level', t => {
	// Level 5 + 8 × 0.5 after the first request; 2 more are spread over three options.
	const counts = countPicks(3);
	const levels = options.slice(0, 3).map(({cost, costPerRequest}, index) => cost + (counts[index]! / 1000 * 3 * costPerRequest));
	t.is(counts[3], 0);
	t.true(Math.max(...levels) - Math.min(...levels) < 0.1, `${levels.join(' ')}`);
});

test('without options nothing is picked, and a lone option always is', t => {
	t.is(pickByLevel(options.slice(4), {unseenRequests: 3, draw: 0.5}), undefined);
	t.is(pickByLevel([options[3]!], {unseenRequests: 0, draw: 0.999}), options[3]);
});

test('requests of others are unseen for as long as the exchange takes, and longer where nothing was heard; one gateway sees all', t => {
	let rate: DispatchRate = createDispatchRate();

	for (let nowMs = 0; nowMs <= 20_000; nowMs += 100) {
		rate = recordDispatch(rate, nowMs);
	}

	const estimate = (ageMs: number, otherGateways = 88) => estimateUnseenRequests({
		rate, otherGateways, heardAtMs: 20_000 - ageMs, nowMs: 20_000,
	});
	t.true(Math.abs(estimate(0) - (88 * 0.01 * 25)) < 3, `${estimate(0)}`);
	t.true(estimate(1000) > 30 * estimate(0));
	t.is(estimate(60_000), estimate(1000));
	t.is(estimate(0, 0), 0);
	t.is(estimateUnseenRequests({
		rate: createDispatchRate(), otherGateways: 88, heardAtMs: 0, nowMs: 10_000,
	}), 0);
});
