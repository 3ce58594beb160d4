import test from 'ava';
import {computeColdRate, computeUngrantedRate} from '../../cold-time.js';
import {planSafeShare, type SafeShare} from '../../safe-share.js';

const terms = {durationMs: 3000, requestsPerSecond: 23};
const bound = {overage: 1.5, slackRequests: 5};
const allowed = (terms.requestsPerSecond * bound.overage) + bound.slackRequests;
const perSecond = computeUngrantedRate(terms, bound);
const stepMs = 20;
const durationMs = 12_000;

// All daemons always have a request; their clocks began at different times, and each counts the daemons in its own way.
const countUses = (daemons: number, instance: string, {countDaemons, maxWaitMs, offsetMs}: {
	readonly countDaemons: (daemon: number) => number; readonly maxWaitMs: number; readonly offsetMs: (daemon: number) => number;
}) => {
	const uses: number[] = [];

	for (let daemon = 0; daemon < daemons; daemon++) {
		let share: SafeShare | undefined;

		for (let atMs = 0; atMs < durationMs; atMs += stepMs) {
			const nowMs = atMs + offsetMs(daemon);
			const plan = planSafeShare(share, {
				daemon: `gateway-${daemon}`, instance, daemons: countDaemons(daemon), perSecond, maxWaitMs, nowMs,
			});
			share = plan.share;

			if (plan.startAtMs !== undefined) {
				uses.push(plan.startAtMs - offsetMs(daemon));
			}
		}
	}

	return uses;
};

const findWorstSecond = (usesMs: readonly number[]) => Math.max(0, ...usesMs.map(fromMs => usesMs.filter(atMs => atMs >= fromMs && atMs < fromMs + 1000).length));

for (const daemons of [23, 89, 400]) {
	test(`${daemons} gateways that know nothing of each other stay under the bound, also beside those that a leader still grants permits`, t => {
		const granted = (1.25 * computeColdRate(terms, bound)) + 1;

		for (const instance of ['i-1', 'i-2', 'i-3', 'i-4']) {
			// Clocks that began together and at different times.
			for (const [maxWaitMs, spreadMs] of [[0, 0], [500, 0], [500, 7919]] as const) {
				const offsetMs = (daemon: number) => (daemon * spreadMs) % 100_000;
				const uses = countUses(daemons, instance, {countDaemons: () => daemons, maxWaitMs, offsetMs});
				t.true(uses.length > 0);
				t.true(findWorstSecond(uses) <= allowed, `${findWorstSecond(uses)}`);
				// Those beside which a leader still grants are at most half of them.
				const half = countUses(Math.ceil(daemons / 2), instance, {countDaemons: () => daemons, maxWaitMs, offsetMs});
				t.true(findWorstSecond(half) + granted <= allowed, `${findWorstSecond(half)} beside ${granted}`);
				// Some take half of the gateways for all, others count too many.
				const miscounted = countUses(daemons, instance, {countDaemons: daemon => Math.max(1, daemons * (0.5 + (daemon % 3 / 2))), maxWaitMs, offsetMs});
				t.true(findWorstSecond(miscounted) <= allowed, `${findWorstSecond(miscounted)} miscounted`);
			}
		}
	});
}

test('a share that is not used is lost, and a change of the number of gateways gives no second one', t => {
	const query = {
		daemon: 'g', instance: 'i', daemons: 10, perSecond: 5, maxWaitMs: 0,
	};
	const first = planSafeShare(undefined, {...query, maxWaitMs: 2000, nowMs: 100_000});
	const {usedAtMs: instantMs} = first.share!;
	const later = planSafeShare(first.share, {...query, nowMs: instantMs + 6300});
	t.is(later.startAtMs, undefined);
	t.true(later.nextAtMs > instantMs + 6300);
	let {share} = first;
	let uses = 0;

	for (let nowMs = instantMs; nowMs < instantMs + 950; nowMs += 5) {
		const plan = planSafeShare(share, {...query, daemons: 10 + (nowMs % 3), nowMs});
		share = plan.share;
		uses += plan.startAtMs === undefined ? 0 : 1;
	}

	t.is(uses, 0);
});
