import test from 'ava';
import {computeColdRate, computeUngrantedRate} from '@fescuestair/limits';
import {simulateLimits, type LimitSimulation, type LimitSimulationOptions} from '../../model/simulate-limits.js';

const terms = {durationMs: 6000, requestsPerSecond: 23};
const bound = {overage: 1.5, slackRequests: 5};
const allowed = (terms.requestsPerSecond * bound.overage) + bound.slackRequests;
const instances = 12;
const coldInstances = 3;
/** A zone of instances comes back while each is offered twice what it bears, and more of them than one. */
const coldSpan = {fromMs: 3000, toMs: 9000};
const cold = {
	instances: coldInstances, spans: [coldSpan], perSecond: computeColdRate(terms, bound), ungrantedPerSecond: computeUngrantedRate(terms, bound),
};
const seeds = [1, 2, 3];

const findWorstSecond = ({arrivalsMs}: LimitSimulation) => Math.max(...arrivalsMs.slice(0, coldInstances).map(times => {
	const counted = times.filter(atMs => atMs >= coldSpan.fromMs + 15 && atMs < coldSpan.toMs);

	return Math.max(0, ...counted.map(fromMs => counted.filter(atMs => atMs >= fromMs && atMs < fromMs + 1000).length));
}));

const simulate = (gateways: number, seed: number, options: Partial<LimitSimulationOptions> = {}) => simulateLimits({
	seed, gateways, requestsPerSecond: 2 * terms.requestsPerSecond * instances, instances, getLimit: () => undefined, durationMs: 10_000, cold, ...options,
});

for (const gateways of [23, 89]) {
	test(`a zone of cold instances comes back under twice the load over ${gateways} gateways`, t => {
		for (const seed of seeds) {
			const simulation = simulate(gateways, seed);
			t.true(findWorstSecond(simulation) <= allowed, `${findWorstSecond(simulation)} in a second`);
			// The others take the rest at once.
			t.is(simulation.refusedAfterMs.length, 0);
			t.true(simulation.waitedMs.every(waitedMs => waitedMs <= 100));
			// Most of what the cold ones bear is used.
			const used = simulation.arrivalsMs.slice(0, coldInstances).flat().filter(atMs => atMs >= coldSpan.fromMs && atMs < coldSpan.toMs).length;
			t.true(used >= 0.6 * coldInstances * terms.requestsPerSecond * (coldSpan.toMs - coldSpan.fromMs) / 1000, `${used} used`);
			t.true(findWorstSecond(simulate(gateways, seed, {cold: undefined})) > allowed);
		}
	});

	test(`requests that find only cold instances of ${gateways} gateways are spread over later times or refused`, t => {
		for (const seed of seeds) {
			const simulation = simulate(gateways, seed, {instances: coldInstances, requestsPerSecond: 3 * terms.requestsPerSecond * coldInstances});
			t.true(findWorstSecond(simulation) <= allowed, `${findWorstSecond(simulation)} in a second`);
			t.true(simulation.refusedAfterMs.length > 0);
			t.true(new Set(simulation.returnDelaysMs.map(delayMs => Math.round(delayMs / 100))).size > 5);
		}
	});

	test(`the leader is lost while instances are cold, and some of ${gateways} gateways are cut off`, t => {
		for (const seed of seeds) {
			const lost = simulate(gateways, seed, {leaderLosses: [{fromMs: 4000, toMs: 5200}, {fromMs: 7500, toMs: 8000}]});
			t.true(findWorstSecond(lost) <= allowed, `${findWorstSecond(lost)} in a second without a leader`);
			const cut = simulate(gateways, seed, {
				cutGateways: Math.floor(gateways / 2), cuts: [{fromMs: 3500, toMs: 9500}], cold: {...cold, countGateways: gateway => gateways * (0.6 + (gateway % 5 / 5))},
			});
			t.true(findWorstSecond(cut) <= allowed, `${findWorstSecond(cut)} in a second beside a cut`);
			t.is(cut.refusedAfterMs.length, 0);
		}
	});
}

for (const gateways of [23, 89, 400]) {
	test(`questions for permits of 20 cold instances from ${gateways} gateways are bounded`, t => {
		const coldCount = 20;

		for (const [others, load] of [[20, 2], [0, 2], [0, 8]] as const) {
			const simulation = simulate(gateways, 1, {
				instances: coldCount + others, requestsPerSecond: load * terms.requestsPerSecond * coldCount, cold: {...cold, instances: coldCount, spans: [{fromMs: 0, toMs: 10_000}]},
			});
			const perSecond = simulation.questions / 10;
			t.log(`${perSecond.toFixed(0)} questions a second, ${others} other instances, load ${load}`);
			// Each permit is asked for once, two daemons are referred to the next one, and the rest ask half a second before the two to which they are referred at most.
			t.true(perSecond <= (3 * coldCount * terms.requestsPerSecond) + (coldCount * gateways / 1.5));
		}
	});
}
