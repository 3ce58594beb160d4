import test from 'ava';
import {
	coldBurstRequests, computeAnnouncedColdEnd, computeColdRate, computeUngrantedRate, findColdEnd, mergeColdEnd, noColdTime, recordColdAnswer, recordEndedRun,
} from '../../cold-time.js';
import {
	maxReservationMs, permitValidityMs, reservePermit, type PermitAccount,
} from '../../reserve-permit.js';

const terms = {durationMs: 3000, requestsPerSecond: 23};
const announce = (coldLeftMs: number | undefined, heardAtMs: number, restartedAtMs?: number) => ({coldLeftMs, heardAtMs, restartedAtMs});
const noAnnouncement = {announcedEndMs: 0, heardAtMs: 0};

test('an instance is cold for as long as it says from when it said so, and from its restart on if it says nothing', t => {
	t.is(computeAnnouncedColdEnd({terms, announcement: announce(2000, 500)}), 2500);
	t.is(computeAnnouncedColdEnd({terms, announcement: announce(0, 500, 400)}), 500);
	t.is(computeAnnouncedColdEnd({terms, announcement: announce(undefined, 900, 400)}), 3400);
	// All announce themselves at the first start of a system.
	t.true(computeAnnouncedColdEnd({terms, announcement: announce(undefined, 900)}) < 900);
	// Whatever it says, it counts as cold for no longer than it could be.
	t.is(computeAnnouncedColdEnd({terms, announcement: announce(86_400_000, 0)}), 10_000);
});

test('instances that said nothing since a time without requests count as cold from its end on', t => {
	t.is(computeAnnouncedColdEnd({terms, announcement: announce(0, 500), coldSinceMs: 700}), 3700);
	t.is(computeAnnouncedColdEnd({terms, announcement: announce(0, 701), coldSinceMs: 700}), 701);
	t.is(computeAnnouncedColdEnd({terms, announcement: announce(9000, 500), coldSinceMs: 700}), 9500);
});

test('the latest end that anyone knows counts, and only a later answer refutes it', t => {
	const told = mergeColdEnd(noColdTime, 2500);
	t.is(mergeColdEnd(told, 2000).endMs, 2500);
	// The transit time of a message is no news.
	t.is(mergeColdEnd(told, 2600), told);
	t.is(recordColdAnswer(told, {coldLeftMs: 4000, sentAtMs: 90, ...noAnnouncement}, 100).endMs, 4100);
	t.is(recordColdAnswer(told, {
		coldLeftMs: 0, sentAtMs: 90, announcedEndMs: 3000, heardAtMs: 95,
	}, 100), told);
	const ended = recordColdAnswer(told, {
		coldLeftMs: 0, sentAtMs: 97, announcedEndMs: 3000, heardAtMs: 95,
	}, 100);
	t.is(findColdEnd(ended, {announcedEndMs: 3000, heardAtMs: 95}), 100);
	t.is(findColdEnd(ended, {announcedEndMs: 3000, heardAtMs: 99}), 3000);
});

test('an instance that does not run is cold when it runs again, which is told once in a while', t => {
	const ended = recordEndedRun(noColdTime, terms, 100);
	t.is(ended.endMs, 3100);
	t.is(recordEndedRun(ended, terms, 1000), ended);
	t.is(recordEndedRun(ended, terms, 1700).endMs, 4700);
});

// Used as late as it is valid before every second second begins, and as early as it can be after that: an answer that took long moves the beginning.
const useAtWorst = (startAtMs: number, answerMs: number) => Math.floor(startAtMs / 1000) % 2 === 0
	? Math.min(startAtMs + permitValidityMs, Math.ceil((startAtMs + 1) / 1000) * 1000)
	: Math.max(startAtMs - answerMs, Math.floor(startAtMs / 1000) * 1000);

const findWorstSecond = (usesMs: readonly number[]) => Math.max(...usesMs.map(fromMs => usesMs.filter(atMs => atMs >= fromMs && atMs < fromMs + 1000).length));

type Term = {readonly fromMs: number; readonly toMs: number; readonly openAtMs: number};

// Everybody asks all the time.
const listUses = ({fromMs, toMs, openAtMs}: Term, {perSecond, answerMs}: {readonly perSecond: number; readonly answerMs: number}) => {
	const usesMs: number[] = [];
	let account: PermitAccount | undefined;

	for (let nowMs = fromMs; nowMs < toMs; nowMs++) {
		const reservation = reservePermit(account, {
			perSecond, maxWaitMs: maxReservationMs, openAtMs, burstRequests: coldBurstRequests,
		}, nowMs);
		account = reservation.account;
		usesMs.push(...(reservation.startAtMs === undefined ? [] : [useAtWorst(reservation.startAtMs, answerMs)]));
	}

	return usesMs;
};

const leaseMs = 550;
// The former leader takes itself for the leader until its lease ends.
const listTerms = (boundaryMs: number): readonly Term[] => [
	{fromMs: 0, toMs: boundaryMs + leaseMs, openAtMs: 0},
	{fromMs: boundaryMs, toMs: 6000, openAtMs: boundaryMs + leaseMs + maxReservationMs + permitValidityMs},
];

for (const bound of [{overage: 1.5, slackRequests: 5}, {overage: 1.2, slackRequests: 2}, {overage: 1, slackRequests: 3}]) {
	for (const requestsPerSecond of [3, 23, 80]) {
		test(`in any second, what leaders grant at ${requestsPerSecond} a second stays under the bound ${JSON.stringify(bound)}`, t => {
			const ownTerms = {...terms, requestsPerSecond};
			const perSecond = computeColdRate(ownTerms, bound);
			const allowed = (requestsPerSecond * bound.overage) + bound.slackRequests;
			t.true(perSecond <= requestsPerSecond);

			for (const answerMs of [0, 100, 250]) {
				for (const boundaryMs of [2000, 2400, 2777]) {
					const usesMs = listTerms(boundaryMs).flatMap(term => listUses(term, {perSecond, answerMs}));
					t.true(findWorstSecond(usesMs) <= allowed, `${findWorstSecond(usesMs)} with answers after ${answerMs} ms`);
				}
			}

			// Beside them, gateways that reach no leader send a few.
			t.true((1.25 * perSecond) + 1 + computeUngrantedRate(ownTerms, bound) <= allowed);
		});
	}
}

test('without a bound, a cold instance gets what its service says', t => {
	t.is(computeColdRate(terms, undefined), 23);
	t.is(computeUngrantedRate(terms, {overage: 1.5, slackRequests: 5}), 4.875);
});
