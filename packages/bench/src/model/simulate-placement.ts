import {
	addWork, chooseInstance, computeCorrectionMs, correctBacklog, createCachedParts, createDispatchRate, createInstanceLoad, decideWait, estimateUnseenRequests, estimateWork, recordDispatch,
	WaitDecision, type CachedParts, type ChooseInstance, type DispatchRate, type InstanceLoad, type InstanceOption, type Pace, type PlacementInput, type PromptPart, type PromptSize, type WorkEstimate,
} from '@fescuestair/routing';
import {createScheduler} from './scheduler.js';
import {createRandom} from './workload.js';

export type PlacementSimulationOptions = {
	readonly seed: number;
	readonly gateways: number;
	readonly engines: number;
	readonly durationMs: number;
	/** Factor of the usual rate, which keeps engines busy for about half of the time. */
	readonly rate?: number;
	/** Creates the choice of one gateway. */
	readonly createChooser?: (gateway: number, random: () => number) => ChooseInstance;
	/** Whether gateways know that others choose at the same moment, and pass over what was sent to them while they stood still. */
	readonly knowsCrowd?: boolean;
	/** Whether gateways keep the pace that engines report, and whether they tell it to each other. */
	readonly keepsPace?: boolean;
	readonly sharesPace?: boolean;
	/** Gateways with lower numbers than this stop, or know nothing, until this time, and then serve what has come to them. */
	readonly frozenGateways?: number;
	readonly freeze?: {readonly fromMs: number; readonly toMs: number};
	/** The first quarter of the engines is slow in this time, and no other ever is. */
	readonly slowSpan?: {readonly fromMs: number; readonly toMs: number};
};

export type PlacementSimulation = {
	/** Arrivals of the busiest engine, as a multiple of the mean. */
	readonly busiestToMean: number;
	/** The same in spans of a second, in the mean. */
	readonly busiestToMeanBySecond: number;
	/** Share of the engines' time in which more requests run than they have slots. */
	readonly fullShare: number;
	readonly longLateShare: number;
	readonly shortLateShare: number;
	readonly shortP99Ms: number;
	/** Prompt tokens of shared parts that engines read, as a share of all. */
	readonly sharedReadShare: number;
	/** The same that they fetched from a store. */
	readonly fetchedShare: number;
	readonly arrivalsMs: ReadonlyArray<readonly number[]>;
	readonly refusals: number;
};

/** Deployment of the simulation: the sizes of prompts and engines are those of a usual chat deployment. */
const tokensPerMs = 36.7;
const cacheTokens = 72_000;
const slots = 12;
const tokenMs = 5;
const firstMs = 22;
const longPerSecondAndEngine = 1;
const shortPerSecondAndEngine = 4;
const slowShare = 0.15;
const slowFactor = 2.5;
const spellMs = 600;
const zones = 3;
const storeZone = 'zone-1';
const relayMs = 15;
const sharesMs = 300;
const lostShare = 0.01;
/** A shared part that was read is in a store, in the zone of its number, this long after; fetching it takes twice as long in the other zones. */
const storeDelayMs = 500;
const fetchMsPerToken = 0.0035;
const minStoredTokens = 1000;

type Engine = {
	readonly id: string; readonly availabilityZone: string; readonly cached: CachedParts; readonly arrivalsMs: number[];
	readonly spells: ReadonlyArray<readonly [fromMs: number, toMs: number]>;
	busyUntilMs: number; running: number; fullMs: number; fullSinceMs: number | undefined;
};
type View = {load: InstanceLoad; unsentMs: number; unsentCorrectionMs: number; pace: Pace | undefined; cached: CachedParts};
type Gateway = {
	readonly number: number; readonly availabilityZone: string; readonly views: View[]; readonly lagMs: number; heardAtMs: number; rate: DispatchRate; readonly choose: ChooseInstance;
};
type Prompt = {readonly isLong: boolean; readonly parts: readonly PromptPart[]; readonly size: PromptSize; readonly outputTokens: number; readonly atMs: number};

/**
Simulates many gateways that choose engines at the same moment, on views that are as old as those of real ones: their own work is known at once,
that of others when it was relayed, requests in flight every 300 ms, some messages not at all.

@example
```
simulatePlacement({seed: 1, gateways: 89, engines: 98, durationMs: 10_000, knowsCrowd: true}).busiestToMean;
```
*/
export function simulatePlacement(options: PlacementSimulationOptions): PlacementSimulation {
	const {seed, durationMs, createChooser = () => chooseInstance, rate = 1, frozenGateways = 0, freeze, slowSpan} = options;
	/** One for the requests, which are the same whatever is chosen, and one for all else. */
	const random = createRandom(seed);
	const chance = createRandom(seed + 1000);
	const scheduler = createScheduler();
	const now = scheduler.getNowMs;
	const drawNormal = () => Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
	const drawLength = (mean: number, spread: number, max: number) => Math.min(max, mean * Math.exp((spread * drawNormal()) - (spread * spread / 2)));
	const drawThing = (count: number) => Math.floor(count * (random() ** (1 / 0.75)));
	const drawSpells = () => {
		const spells: Array<readonly [number, number]> = [];

		for (let atMs = 0; atMs < durationMs;) {
			const fromMs = atMs - (Math.log(1 - random()) * spellMs * (1 - slowShare) / slowShare);
			atMs = fromMs - (Math.log(1 - random()) * spellMs);
			spells.push([fromMs, atMs]);
		}

		return spells;
	};

	const engines = Array.from({length: options.engines}, (_, index): Engine => ({
		id: `engine-${index}`, availabilityZone: `zone-${index % zones}`, cached: createCachedParts(cacheTokens), arrivalsMs: [], busyUntilMs: 0, running: 0, fullMs: 0, fullSinceMs: undefined,
		spells: slowSpan === undefined ? drawSpells() : (index < options.engines / 4 ? [[slowSpan.fromMs, slowSpan.toMs]] : []),
	}));
	const gateways = Array.from({length: options.gateways}, (_, number): Gateway => ({
		number, availabilityZone: `zone-${number % zones}`, lagMs: 2 + (10 * chance()), heardAtMs: 0, rate: createDispatchRate(), choose: createChooser(number, chance),
		views: engines.map(() => ({
			load: createInstanceLoad(), unsentMs: 0, unsentCorrectionMs: 0, pace: undefined, cached: createCachedParts(cacheTokens),
		})),
	}));
	const partTokens = new Map<string, number>();
	const storedAtMs = new Map<string, number>();
	const latenessMs: Array<{readonly isLong: boolean; readonly tookMs: number}> = [];
	let sharedTokens = 0;
	let sharedReadTokens = 0;
	let fetchedTokens = 0;
	let refusals = 0;
	const isFrozen = ({number}: Gateway) => freeze !== undefined && number < frozenGateways && now() >= freeze.fromMs && now() < freeze.toMs;
	const getPace = ({spells}: Engine) => spells.some(([fromMs, toMs]) => now() >= fromMs && now() < toMs) ? slowFactor : 1;

	// Prefill progresses at the pace of each moment.
	const computeDone = ({spells}: Engine, startMs: number, workMs: number) => {
		let atMs = startMs;
		let leftMs = workMs;

		for (const [fromMs, toMs] of spells) {
			if (toMs <= atMs) {
				continue;
			}

			if (atMs + leftMs <= fromMs) {
				break;
			}

			leftMs -= Math.max(0, fromMs - atMs);
			atMs = Math.max(atMs, fromMs);

			if (leftMs * slowFactor <= toMs - atMs) {
				return atMs + (leftMs * slowFactor);
			}

			leftMs -= (toMs - atMs) / slowFactor;
			atMs = toMs;
		}

		return atMs + leftMs;
	};

	const getPart = (id: string, mean: number, max: number): PromptPart => {
		const tokens = partTokens.get(id) ?? Math.ceil(drawLength(mean, 0.6, max));
		partTokens.set(id, tokens);

		return {id, tokens};
	};

	const createPrompt = (isLong: boolean): Prompt => {
		const shared = isLong
			? [getPart(`work-${drawThing(options.engines * 13)}`, 12_800, 34_000)]
			: [getPart(`task-${drawThing(16)}`, 55, 138), getPart(`note-${drawThing(options.engines * 49)}`, 246, 656)];
		const question = Math.ceil(isLong ? drawLength(4260, 0.7, 17_000) : drawLength(82, 0.7, 328));
		const outputTokens = isLong ? drawLength(120, 1.2, 480) : drawLength(45, 1.2, 180);
		const sharedSum = shared.reduce((sum, {tokens}) => sum + tokens, 0);

		return {
			isLong, parts: [...shared, {id: `question-${random()}`, tokens: question}], outputTokens, atMs: now(),
			size: {
				promptTokens: sharedSum + question, outputTokens, cacheTokens, prefillTokensPerMs: tokensPerMs, affinityKey: shared.at(-1)!.id, sharedTokens: sharedSum,
			},
		};
	};

	// Only the first part of a long prompt is worth a store.
	const describeFetch = ({availabilityZone}: Engine, view: View, {parts: [part, ...others]}: Prompt) => others.length > 1 || part!.tokens < minStoredTokens
		|| view.cached.countCachedTokens([part!]) > 0 || now() < (storedAtMs.get(part!.id) ?? Number.POSITIVE_INFINITY)
		? {fetchableTokens: 0, fetchMs: 0}
		: {fetchableTokens: part!.tokens, fetchMs: part!.tokens * fetchMsPerToken * (availabilityZone === storeZone ? 1 : 2)};

	const correct = (view: View, correctionMs: number) => {
		view.load = {...view.load, work: correctBacklog(view.load.work, correctionMs, now())};
		view.unsentCorrectionMs += correctionMs;
	};

	const changeRunning = (engine: Engine, change: number) => {
		engine.running += change;

		if (engine.running > slots) {
			engine.fullSinceMs ??= now();
		} else if (engine.fullSinceMs !== undefined) {
			engine.fullMs += now() - engine.fullSinceMs;
			engine.fullSinceMs = undefined;
		}
	};

	const send = (gateway: Gateway, prompt: Prompt, index: number) => {
		const engine = engines[index]!;
		const view = gateway.views[index]!;
		const {load} = view;
		const held = prompt.size.promptTokens + prompt.outputTokens;
		const fetch = describeFetch(engine, view, prompt);
		const workMs = (prompt.size.promptTokens - view.cached.countCachedTokens(prompt.parts) - fetch.fetchableTokens) / tokensPerMs;
		const cachedTokens = engine.cached.countCachedTokens(prompt.parts);
		const readTokens = prompt.size.promptTokens - Math.max(cachedTokens, fetch.fetchableTokens);
		gateway.rate = recordDispatch(gateway.rate, now());
		view.load = {
			...load, own: load.own + 1, ownHeldTokens: load.ownHeldTokens + held, work: addWork(load.work, workMs, now()),
		};
		view.unsentMs += workMs;
		const estimate: WorkEstimate = estimateWork(view.load.work, workMs);
		sharedTokens += prompt.size.sharedTokens;
		sharedReadTokens += Math.max(0, prompt.size.sharedTokens - Math.max(cachedTokens, fetch.fetchableTokens));
		fetchedTokens += cachedTokens >= fetch.fetchableTokens ? 0 : fetch.fetchableTokens;

		for (const {id} of prompt.parts.slice(0, -1)) {
			storedAtMs.set(id, Math.min(storedAtMs.get(id) ?? Number.POSITIVE_INFINITY, now() + storeDelayMs));
		}

		engine.arrivalsMs.push(now());
		engine.cached.add(prompt.parts);
		changeRunning(engine, 1);
		engine.busyUntilMs = computeDone(engine, Math.max(now() + (cachedTokens >= fetch.fetchableTokens ? 0 : fetch.fetchMs), engine.busyUntilMs), readTokens / tokensPerMs);
		const firstDelayMs = engine.busyUntilMs - now() + firstMs;

		scheduler.schedule(firstDelayMs, () => {
			const slowdown = getPace(engine);
			latenessMs.push({isLong: prompt.isLong, tookMs: now() - prompt.atMs});
			correct(view, computeCorrectionMs(view.load.work, estimate, now()));
			view.cached.add(prompt.parts);
			view.load = {
				...view.load, report: {
					running: engine.running, waiting: 0, slots, atMs: now(), ownAtReport: view.load.own,
				}, ...(options.keepsPace === true && {pace: {slowdown, atMs: now()}}),
			};
			view.pace = view.load.pace;
			scheduler.schedule(prompt.outputTokens * tokenMs * slowdown, () => {
				changeRunning(engine, -1);
				view.load = {...view.load, own: view.load.own - 1, ownHeldTokens: view.load.ownHeldTokens - held};
			});
		});
	};

	const serve = (gateway: Gateway, prompt: Prompt, waits = 0) => {
		if (isFrozen(gateway)) {
			scheduler.schedule(freeze!.toMs - now() + (chance() * 20), () => {
				serve(gateway, prompt, waits);
			});

			return;
		}

		const listed = gateway.views.map((view, index): InstanceOption => ({
			id: engines[index]!.id, availabilityZone: engines[index]!.availabilityZone, slots, load: view.load, failureShare: 0, isOutdated: false,
			cachedTokens: view.cached.countCachedTokens(prompt.parts), ...describeFetch(engines[index]!, view, prompt),
		}));
		const input: PlacementInput = {
			options: listed, nowMs: now(), availabilityZone: gateway.availabilityZone, prompt: prompt.size,
			...(options.knowsCrowd === true && {
				crowd: {
					draw: chance(), unseenRequests: estimateUnseenRequests({
						rate: gateway.rate, otherGateways: options.gateways - 1, heardAtMs: gateway.heardAtMs, nowMs: now(),
					}),
				},
			}),
		};
		const placement = gateway.choose(input)!;
		const decision = decideWait({
			...placement, waitedMs: now() - prompt.atMs, aheadMs: 0, targetMs: prompt.isLong ? longTargetMs : shortTargetMs, patienceMs: prompt.isLong ? 8000 : 4000,
		});

		if (decision === WaitDecision.Send || waits > 60) {
			send(gateway, prompt, engines.findIndex(({id}) => id === placement.id));
		} else if (decision === WaitDecision.Wait) {
			scheduler.schedule(25 + (chance() * 125), () => {
				serve(gateway, prompt, waits + 1);
			});
		} else {
			refusals++;
		}
	};

	const relay = () => {
		const deltas = new Map<number, {workMs: number; correctionMs: number; readonly own: Map<Gateway, readonly [number, number]>; pace: Pace | undefined}>();

		for (const gateway of gateways) {
			if (isFrozen(gateway)) {
				continue;
			}

			for (const [index, view] of gateway.views.entries()) {
				if (view.unsentMs !== 0 || view.unsentCorrectionMs !== 0) {
					const delta = deltas.get(index) ?? {
						workMs: 0, correctionMs: 0, own: new Map(), pace: undefined,
					};
					delta.workMs += view.unsentMs;
					delta.correctionMs += view.unsentCorrectionMs;
					delta.own.set(gateway, [view.unsentMs, view.unsentCorrectionMs]);
					delta.pace = view.pace ?? delta.pace;
					deltas.set(index, delta);
					view.unsentMs = 0;
					view.unsentCorrectionMs = 0;
					view.pace = undefined;
				}
			}
		}

		for (const gateway of gateways) {
			if (chance() < lostShare) {
				continue;
			}

			scheduler.schedule(gateway.lagMs, () => {
				const apply = () => {
					gateway.heardAtMs = now();

					for (const [index, {workMs, correctionMs, own, pace}] of deltas) {
						const view = gateway.views[index]!;
						const [ownWorkMs, ownCorrectionMs] = own.get(gateway) ?? [0, 0];
						view.load = {
							...view.load, work: correctBacklog(addWork(view.load.work, workMs - ownWorkMs, now()), correctionMs - ownCorrectionMs, now()),
							...(options.sharesPace === true && pace !== undefined && {pace}),
						};
					}
				};

				if (!isFrozen(gateway)) {
					apply();
				} else if (options.knowsCrowd !== true) {
					scheduler.schedule(freeze!.toMs - now() + 5, apply);
				}
			});
		}

		scheduler.schedule(relayMs, relay);
	};

	const shareLoads = () => {
		const totals = engines.map((_, index) => {
			let requests = 0;
			let heldTokens = 0;

			for (const {views} of gateways) {
				requests += views[index]!.load.own;
				heldTokens += views[index]!.load.ownHeldTokens;
			}

			return {requests, heldTokens};
		});

		for (const gateway of gateways) {
			const {views} = gateway;
			const peers = views.map(({load}, index) => ({requests: totals[index]!.requests - load.own, heldTokens: totals[index]!.heldTokens - load.ownHeldTokens}));
			scheduler.schedule(200 * chance(), () => {
				if (!isFrozen(gateway)) {
					for (const [index, view] of views.entries()) {
						view.load = {...view.load, peers: peers[index]!};
					}
				}
			});
		}

		scheduler.schedule(sharesMs, shareLoads);
	};

	const arrive = (isLong: boolean, perMs: number) => {
		scheduler.schedule(-Math.log(1 - random()) / perMs, () => {
			serve(gateways[Math.floor(random() * gateways.length)]!, createPrompt(isLong));
			arrive(isLong, perMs);
		});
	};

	relay();
	shareLoads();
	arrive(true, rate * longPerSecondAndEngine * options.engines / 1000);
	arrive(false, rate * shortPerSecondAndEngine * options.engines / 1000);
	scheduler.runUntil(durationMs);

	const computeSpread = (fromMs: number, toMs: number) => {
		const counts = engines.map(({arrivalsMs}) => arrivalsMs.filter(atMs => atMs >= fromMs && atMs < toMs).length);

		return Math.max(...counts) * counts.length / counts.reduce((sum, count) => sum + count, 0);
	};

	const seconds = Array.from({length: Math.floor(durationMs / 1000) - 1}, (_, index) => computeSpread((index + 1) * 1000, (index + 2) * 1000));
	const computeLateShare = (isLong: boolean, targetMs: number) => {
		const all = latenessMs.filter(one => one.isLong === isLong);

		return all.filter(({tookMs}) => tookMs > targetMs).length / all.length;
	};

	const shorts = latenessMs.filter(({isLong}) => !isLong).map(({tookMs}) => tookMs).toSorted((a, b) => a - b);

	return {
		busiestToMean: computeSpread(1000, durationMs),
		busiestToMeanBySecond: seconds.reduce((sum, spread) => sum + spread, 0) / seconds.length,
		fullShare: engines.reduce((sum, {fullMs}) => sum + fullMs, 0) / engines.length / durationMs,
		longLateShare: computeLateShare(true, longTargetMs),
		shortLateShare: computeLateShare(false, shortTargetMs),
		shortP99Ms: shorts[Math.floor(shorts.length * 0.99)] ?? 0,
		sharedReadShare: sharedReadTokens / sharedTokens,
		fetchedShare: fetchedTokens / sharedTokens,
		arrivalsMs: engines.map(({arrivalsMs}) => arrivalsMs),
		refusals,
	};
}

const longTargetMs = 1000;
const shortTargetMs = 500;
