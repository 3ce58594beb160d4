import {
	createQuarantine, createTrialReport, decideTrial, emptyQuarantine, explainCrashes, findHeldBack, forgetConnectionLosses, mergeCrashReport, noConnectionLosses, noCrashEvidence,
	recordConnectionLoss, takeCrashedRequests, type ConnectionLosses, type CrashReport, type Quarantine, type Traits,
} from '@fescuestair/crashes';
import {createScheduler} from './scheduler.js';
import {createRandom} from './workload.js';

export type QuarantineSimulationOptions = {
	readonly seed: number;
	readonly gateways: number;
	readonly instances: number;
	readonly requestsPerSecond: number;
	/** Share of the requests that have a deadly part. */
	readonly deadlyShare: number;
	/** The parts that crash instances at a time. */
	readonly getDeadlyParts: (nowMs: number) => readonly string[];
	/** The shared parts of a request with a deadly part; default the common first part and a deadly one. */
	readonly chooseDeadlyPrompt?: (random: () => number) => readonly string[];
	readonly durationMs: number;
	/** Times at which a share of the instances is lost without a deadly part. */
	readonly losses?: ReadonlyArray<{readonly atMs: number; readonly share: number}>;
	/** The gateways hold nothing back, for comparison. */
	readonly isUnguarded?: boolean;
	/** Gateways with lower numbers than this start at a time. */
	readonly lateGateways?: number;
	readonly lateStartMs?: number;
};

export type QuarantineSimulation = {
	/** Times at which instances crashed under a deadly part. */
	readonly crashesAtMs: readonly number[];
	/** Times at which requests with a deadly part were sent to instances. */
	readonly deadlySentAtMs: readonly number[];
	readonly soundRequests: number;
	/** Requests without a deadly part that were refused because a part of theirs was held back. */
	readonly soundHeldBack: number;
	/** Parts that were held back though they were never deadly. */
	readonly falselyBlamed: ReadonlySet<string>;
	/** Requests with a part that was deadly before that were answered. */
	readonly answeredAgainAtMs: readonly number[];
};

type Gateway = {
	readonly number: number;
	losses: ConnectionLosses;
	quarantine: Quarantine;
	readonly answeredAtMs: Map<string, number>;
	readonly unreportedTraits: Set<string>;
	readonly postponedTrials: Map<string, number>;
};

type Running = {readonly gateway: Gateway; readonly traits: Traits; readonly sentAtMs: number; firstPieceAtMs: number | undefined};
type Instance = {readonly number: number; run: number; isUp: boolean; readonly running: Set<Running>};

const modelTrait = 'model m';
/** The first part of all prompts. */
export const firstPart = 'part first';
/** The part that is deadly unless the options say otherwise. */
export const deadlyPart = 'part deadly';
const documents = 200;
const hopMs = 3;
const publishDelayMs = 30;
const restartMs = {least: 2000, span: 3000};
const beginMs = {least: 60, span: 500};
const answerMs = 400;
const answerProofMs = 200;
const helloIntervalMs = 500;
const msPerSecond = 1000;
const maxAttempts = 3;

/**
Simulates gateways that share instances of which some crash under parts of prompts, in virtual time, with the decisions that daemons use.

@example
```
const {crashesAtMs} = simulateQuarantine({seed: 1, gateways: 28, instances: 40, requestsPerSecond: 100, deadlyShare: 0.02, getDeadlyParts: () => [deadlyPart], durationMs: 30_000});
```
*/
export function simulateQuarantine(options: QuarantineSimulationOptions): QuarantineSimulation {
	const {
		seed, requestsPerSecond, deadlyShare, getDeadlyParts, durationMs, losses = [], isUnguarded = false, lateGateways = 0, lateStartMs = 0,
		chooseDeadlyPrompt = () => [firstPart, deadlyPart],
	} = options;
	const random = createRandom(seed);
	const {getNowMs, schedule, runUntil} = createScheduler();
	const gateways: Gateway[] = Array.from({length: options.gateways}, (_, number) => ({
		number, losses: noConnectionLosses, quarantine: emptyQuarantine, answeredAtMs: new Map(), unreportedTraits: new Set(), postponedTrials: new Map(),
	}));
	const instances: Instance[] = Array.from({length: options.instances}, (_, number) => ({
		number, run: 0, isUp: true, running: new Set(),
	}));
	const crashesAtMs: number[] = [];
	const deadlySentAtMs: number[] = [];
	const answeredAgainAtMs: number[] = [];
	const falselyBlamed = new Set<string>();
	const everDeadly = new Set<string>();
	let evidence = noCrashEvidence;
	let endedRuns: readonly string[] = [];
	let isPublishPending = false;
	let soundRequests = 0;
	let soundHeldBack = 0;
	let requests = 0;

	const isDeadly = (traits: Traits) => getDeadlyParts(getNowMs()).some(part => traits.includes(part));
	const isOpen = ({number}: Gateway) => number >= lateGateways || getNowMs() >= lateStartMs;
	const formatRun = ({number, run}: Instance) => `i-${number} ${run}`;

	const publish = () => {
		isPublishPending = false;
		const explanation = explainCrashes(evidence, getNowMs());
		const quarantine = createQuarantine(evidence, explanation);

		for (const trait of quarantine.quarantined.keys()) {
			if (!everDeadly.has(trait) && trait.startsWith('part')) {
				falselyBlamed.add(trait);
			}
		}

		if (explanation.settlesAtMs !== undefined) {
			schedulePublish(explanation.settlesAtMs - getNowMs());
		}

		const ended = endedRuns;
		schedule(hopMs, () => {
			for (const gateway of gateways) {
				if (isOpen(gateway)) {
					applyQuarantine(gateway, quarantine, ended);
				}
			}
		});
	};

	const schedulePublish = (delayMs: number) => {
		if (!isPublishPending) {
			isPublishPending = true;
			schedule(delayMs, publish);
		}
	};

	const sendReport = (report: CrashReport, ended: readonly string[] = []) => {
		schedule(hopMs, () => {
			const next = mergeCrashReport(evidence, report, getNowMs());
			const news = ended.filter(run => !endedRuns.includes(run));

			if (next !== evidence || news.length > 0) {
				evidence = next;
				endedRuns = [...endedRuns, ...news].slice(-50);
				schedulePublish(publishDelayMs);
			}
		});
	};

	const reportCrash = (gateway: Gateway, run: string) => {
		const taken = takeCrashedRequests(gateway.losses, {run, nowMs: getNowMs()});
		gateway.losses = taken.losses;

		if (taken.requests.length > 0) {
			sendReport({crashes: [{run, atMs: taken.atMs, requests: taken.requests}]});
		}
	};

	const reportAnswers = (gateway: Gateway) => {
		const traits = [...gateway.quarantine.suspected].filter(trait => gateway.unreportedTraits.has(trait));

		if (traits.length > 0) {
			sendReport({answers: traits.map(trait => ({trait, atMs: gateway.answeredAtMs.get(trait)!}))});

			for (const trait of traits) {
				gateway.unreportedTraits.delete(trait);
			}
		}
	};

	const applyQuarantine = (gateway: Gateway, quarantine: Quarantine, ended: readonly string[]) => {
		gateway.quarantine = quarantine;

		for (const run of ended) {
			reportCrash(gateway, run);
		}

		reportAnswers(gateway);
	};

	const recordAnswer = (gateway: Gateway, traits: Traits, beganAtMs: number) => {
		for (const trait of traits) {
			if (!trait.startsWith('request')) {
				gateway.answeredAtMs.set(trait, beganAtMs);
				gateway.unreportedTraits.add(trait);
			}
		}

		reportAnswers(gateway);

		if (traits.some(trait => everDeadly.has(trait))) {
			answeredAgainAtMs.push(getNowMs());
		}
	};

	const crash = (instance: Instance) => {
		const run = formatRun(instance);
		const lost = [...instance.running];
		instance.isUp = false;
		instance.run++;
		instance.running.clear();

		for (const {gateway, traits, sentAtMs, firstPieceAtMs} of lost) {
			if (firstPieceAtMs === undefined || getNowMs() - firstPieceAtMs < answerProofMs) {
				gateway.losses = recordConnectionLoss(gateway.losses, {run, request: {traits, sentAtMs}, nowMs: getNowMs()});
			}
		}

		schedule(restartMs.least + (random() * restartMs.span), () => {
			instance.isUp = true;

			for (const gateway of gateways) {
				reportCrash(gateway, run);
			}
		});
	};

	const run = (instance: Instance, running: Running) => {
		const startedRun = instance.run;
		const {gateway, traits} = running;
		const isRunning = () => instance.run === startedRun;
		instance.running.add(running);
		schedule(beginMs.least + (random() * beginMs.span), () => {
			if (!isRunning()) {
				return;
			}

			if (isDeadly(traits)) {
				crashesAtMs.push(getNowMs());
				crash(instance);

				return;
			}

			running.firstPieceAtMs = getNowMs();
			schedule(answerProofMs, () => {
				if (isRunning()) {
					recordAnswer(gateway, traits, running.firstPieceAtMs!);
				}
			});
			schedule(answerMs, () => {
				if (isRunning()) {
					instance.running.delete(running);
					gateway.losses = forgetConnectionLosses(gateway.losses, {run: formatRun(instance), sentAtMs: running.sentAtMs});
				}
			});
		});
	};

	const send = (gateway: Gateway, traits: Traits) => {
		for (let attempt = 0; attempt < maxAttempts; attempt++) {
			const instance = instances[Math.floor(random() * instances.length)]!;

			if (instance.isUp) {
				if (isDeadly(traits)) {
					deadlySentAtMs.push(getNowMs());
				}

				run(instance, {
					gateway, traits, sentAtMs: getNowMs(), firstPieceAtMs: undefined,
				});

				return;
			}

			const ended = `i-${instance.number} ${instance.run - 1}`;
			sendReport({}, [ended]);
			reportCrash(gateway, ended);
		}
	};

	const requestTrial = (gateway: Gateway, traits: Traits, trait: string) => {
		schedule(2 * hopMs, () => {
			const query = {traits, evidence, explanation: explainCrashes(evidence, getNowMs())};
			const {isGranted, retryAtMs} = decideTrial(query, getNowMs());
			gateway.postponedTrials.set(trait, Math.max(retryAtMs, getNowMs() + 1));

			if (isGranted) {
				evidence = mergeCrashReport(evidence, {trials: createTrialReport(query, getNowMs())}, getNowMs());
				schedulePublish(publishDelayMs);
				send(gateway, traits);
			}
		});
	};

	const receive = () => {
		requests++;
		const gateway = gateways[Math.floor(random() * gateways.length)]!;
		const hasDeadlyPart = random() < deadlyShare;
		const traits = [modelTrait, ...(hasDeadlyPart ? chooseDeadlyPrompt(random) : [firstPart, `part document${Math.floor((random() ** 2) * documents)}`]), `request ${requests}`];
		const isSound = !isDeadly(traits);
		soundRequests += isSound ? 1 : 0;

		if (!isOpen(gateway)) {
			return;
		}

		const heldBack = isUnguarded ? undefined : findHeldBack(gateway.quarantine, traits);

		if (heldBack === undefined) {
			send(gateway, traits);

			return;
		}

		soundHeldBack += isSound ? 1 : 0;

		if (getNowMs() >= Math.max(heldBack.trialAtMs, gateway.postponedTrials.get(heldBack.trait) ?? 0)) {
			requestTrial(gateway, traits, heldBack.trait);
		}
	};

	const arrive = () => {
		for (const part of getDeadlyParts(getNowMs())) {
			everDeadly.add(part);
		}

		receive();
		schedule(-Math.log(1 - random()) * msPerSecond / requestsPerSecond, arrive);
	};

	const greet = () => {
		if (evidence.crashes.size > 0) {
			publish();
		}

		schedule(helloIntervalMs, greet);
	};

	for (const {atMs, share} of losses) {
		schedule(atMs, () => {
			for (const instance of instances) {
				if (instance.isUp && random() < share) {
					crash(instance);
				}
			}
		});
	}

	schedule(0, arrive);
	schedule(helloIntervalMs, greet);
	runUntil(durationMs);

	return {
		crashesAtMs, deadlySentAtMs, soundRequests, soundHeldBack, falselyBlamed, answeredAgainAtMs,
	};
}
