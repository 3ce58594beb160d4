import {type Clock} from '@fescuestair/core';
import {
	emptyQuarantine, encodeCrashReport, findHeldBack, forgetConnectionLosses, isTrialReply, mergeQuarantines, noConnectionLosses, recordConnectionLoss, takeCrashedRequests,
	type CrashReport, type HeldBack, type Quarantine, type QuarantineMessage,
} from '@fescuestair/crashes';
import {InstanceStage, type InstanceRegistry} from '@fescuestair/instances';
import {
	callAndValidate, LinkMessageKind, requireValid, type LinkMessage,
} from '@fescuestair/protocol';
import {type Logger, type PrometheusMetrics} from '@fescuestair/runtime';
import {type Links} from '@fescuestair/transport';
import {createAnswerTimes} from './answer-times.js';
import {type Exchange} from './exchange.js';
import {recordHeardQuarantine, type HeardQuarantines} from './heard-quarantines.js';
import {type PooledInstance} from './pooled-instance.js';
import {createRequestTraits} from './request-traits.js';

export type CrashDetectorOptions = {
	readonly linkAddress: string;
	readonly links: Pick<Links, 'send' | 'call'>;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: Pick<PrometheusMetrics, 'count'>;
	/** Link address of the primary home, which collects the evidence of all gateways together with the other coordinators. */
	readonly getHome: () => string | undefined;
};

/** How far an answer had come when its connection was lost. */
export type BrokenAnswer = {
	readonly sentAtMs: number;
	readonly pieces: number;
	/** When the first piece arrived; `undefined` if none did. */
	readonly firstPieceAtMs: number | undefined;
};

/** Reports what instances were running when they crashed, and holds back requests with what crashes them, as the coordinators decide. */
export type CrashDetector = {
	/** Returns why a request is held back; `undefined` where it may run. */
	readonly findHeldBack: (exchange: Exchange) => HeldBack | undefined;
	/** Asks for leave to send a request that is held back, to find out whether it still crashes instances. */
	readonly requestTrial: (exchange: Exchange, heldBack: HeldBack) => Promise<boolean>;
	/** Records that the connection was lost while an instance was running the request. */
	readonly recordBrokenConnection: (exchange: Exchange, instance: PooledInstance, answer: BrokenAnswer) => void;
	/** Records that an answer has gone on after its first piece, or is complete. */
	readonly recordAnswer: (exchange: Exchange, beganAtMs: number) => void;
	/** Records that an instance sent a complete response to a request. */
	readonly recordCompletion: (instance: PooledInstance, sentAtMs: number) => void;
	/** Records that an instance no longer accepts connections; `isEnded` if it refuses them, so that its process is known to have ended. */
	readonly recordUnreachable: (instance: PooledInstance, options: {readonly isEnded: boolean}) => void;
	/** Counts a crash for each instance that has ended or restarted since a connection to it was lost. */
	readonly applyRegistry: (registry: InstanceRegistry) => void;
	/** Applies what a coordinator says is held back. */
	readonly applyQuarantine: (from: string, message: QuarantineMessage) => void;
	/** Sends the latest reports to a new home, which may have missed them. */
	readonly repeatReports: (home: string) => void;
	readonly countHeldBack: () => number;
};

/** An answer that has gone on for this long after its first piece has not crashed its instance. */
export const answerProofMs = 200;
const trialCallTimeoutMs = 250;
/** Without an answer of a coordinator, a trial is asked for again after this time. */
const trialRetryMs = 500;
/** Reports of crashes are kept for this long, and as long as a trait in them is held back, for coordinators that missed them. */
const keptReportAgeMs = 30_000;
const maxKeptReports = 50;
const maxEndedRuns = 200;
/** Callers repeat a request within this time. */
const repeatWindowMs = 60_000;
const maxCrashedRequests = 5000;

/**
Creates the detector of requests and prompt parts that crash instances. A lost connection alone does not count as a crash: the instance has to be
found unreachable, or to have restarted, before it answers another request.

@example
```
const crashDetector = createCrashDetector({linkAddress, links, clock, log, metrics, getHome});
```
*/
export function createCrashDetector({linkAddress, links, clock, log, metrics, getHome}: CrashDetectorOptions): CrashDetector {
	const requestTraits = createRequestTraits();
	const answers = createAnswerTimes();
	/** By trait, a later trial than the coordinators named last: the leader refused one, or could not be asked. */
	const postponedTrials = new Map<string, number>();
	const askedTraits = new Set<string>();
	const reportedEndedRuns = new Set<string>();
	/** Requests that this gateway reported as running during a crash, and until when repeats of them are looked for: an answer to one clears all its traits. */
	const crashedRequests = new Map<string, number>();
	let heard: HeardQuarantines = new Map();
	let losses = noConnectionLosses;
	let quarantine = emptyQuarantine;
	let keptReports: ReadonlyArray<{readonly report: CrashReport; readonly sentAtMs: number}> = [];

	const sendReport = (report: CrashReport, {address = getHome(), endedRuns = []}: {readonly address?: string; readonly endedRuns?: readonly string[]} = {}) => {
		if (address !== undefined) {
			links.send(address, {
				kind: LinkMessageKind.CrashReport, from: linkAddress, report: encodeCrashReport(report, {nowMs: clock.readMonotonicMs(), endedRuns}), isRelayed: false,
			} satisfies LinkMessage);
		}
	};

	const sendCrash = (report: CrashReport) => {
		const nowMs = clock.readMonotonicMs();
		const isKept = ({report: {crashes = []}, sentAtMs}: (typeof keptReports)[number]) => nowMs - sentAtMs < keptReportAgeMs
			|| crashes.some(({requests}) => requests.some(({traits}) => findHeldBack(quarantine, traits) !== undefined));
		keptReports = [...keptReports.filter(one => isKept(one)), {report, sentAtMs: nowMs}].slice(-maxKeptReports);
		sendReport(report);
	};

	const repeatReports = (address: string) => {
		for (const {report} of keptReports) {
			sendReport(report, {address});
		}
	};

	const reportCrash = (run: string) => {
		const nowMs = clock.readMonotonicMs();
		const taken = takeCrashedRequests(losses, {run, nowMs});
		losses = taken.losses;

		if (taken.requests.length === 0) {
			return;
		}

		for (const {traits} of taken.requests) {
			log.warn('an instance crashed under a request', {id: parseInstanceId(run), traits});

			if (crashedRequests.size < maxCrashedRequests) {
				crashedRequests.set(traits.at(-1)!, nowMs + repeatWindowMs);
			}
		}

		metrics.count('instance_crashes_total', {});
		sendCrash({crashes: [{run, atMs: taken.atMs, requests: taken.requests}]});
	};

	const reportAnswers = (traits: Iterable<string>) => {
		const news = answers.takeUnreported(traits, clock.readMonotonicMs());

		if (news.length > 0) {
			sendReport({answers: news});
		}
	};

	const setQuarantine = (next: Quarantine) => {
		for (const [trait, {crashCount, trialAtMs}] of next.quarantined) {
			if (!quarantine.quarantined.has(trait)) {
				log.warn('requests are held back: instances crashed under them', {trait, crashes: crashCount, trialInMs: Math.round(trialAtMs - clock.readMonotonicMs())});
			}
		}

		for (const trait of quarantine.quarantined.keys()) {
			if (!next.quarantined.has(trait)) {
				log.info('requests are held back no longer', {trait});
			}
		}

		quarantine = next;
	};

	const findHeldBackTrait = (exchange: Exchange): HeldBack | undefined => {
		if (quarantine.quarantined.size === 0) {
			return undefined;
		}

		const heldBack = findHeldBack(quarantine, requestTraits.listComparable(exchange, quarantine.quarantined.keys()));

		return heldBack && {...heldBack, trialAtMs: Math.max(heldBack.trialAtMs, postponedTrials.get(heldBack.trait) ?? 0)};
	};

	return {
		findHeldBack: findHeldBackTrait,
		async requestTrial(exchange, {trait, trialAtMs}) {
			const home = getHome();

			if (trialAtMs > clock.readMonotonicMs() || home === undefined || askedTraits.has(trait)) {
				return false;
			}

			askedTraits.add(trait);

			try {
				const reply = await callAndValidate(links, {
					address: home, message: {kind: LinkMessageKind.ReserveTrial, traits: requestTraits.list(exchange), isRelayed: false}, timeoutMs: trialCallTimeoutMs,
				});

				if (reply.kind !== 'trial') {
					throw new Error(reply.kind === 'error' ? reply.message : `unexpected reply ${reply.kind}`);
				}

				const {isGranted, retryInMs} = requireValid(reply.trial, isTrialReply, home);
				postponedTrials.set(trait, clock.readMonotonicMs() + retryInMs);

				if (isGranted) {
					log.info('a request that is held back is sent as a trial', {trait, requestId: exchange.requestId});
					metrics.count('quarantine_trials_total', {});
				}

				return isGranted;
			} catch (error) {
				log.info('no coordinator decides on the trial of a request that is held back', {trait, reason: String(error)});
				postponedTrials.set(trait, clock.readMonotonicMs() + trialRetryMs);

				return false;
			} finally {
				askedTraits.delete(trait);
			}
		},
		recordBrokenConnection(exchange, instance, {sentAtMs, pieces, firstPieceAtMs}) {
			const nowMs = clock.readMonotonicMs();
			const traits = requestTraits.list(exchange);
			const isAnswered = firstPieceAtMs !== undefined && nowMs - firstPieceAtMs >= answerProofMs;
			log.info('a connection was lost under a request', {
				id: instance.held.record.id, requestId: exchange.requestId, pieces, isAnswered, traits,
			});

			if (!isAnswered) {
				losses = recordConnectionLoss(losses, {run: formatRun(instance.held.record), request: {traits, sentAtMs}, nowMs});
			}
		},
		recordAnswer(exchange, beganAtMs) {
			dropExpired(crashedRequests, clock.readMonotonicMs());
			const traits = crashedRequests.size > 0 ? requestTraits.list(exchange) : requestTraits.listComparable(exchange, quarantine.suspected);
			answers.record(traits, beganAtMs);

			if (crashedRequests.delete(traits.at(-1)!)) {
				reportAnswers(traits);
			} else if (quarantine.suspected.size > 0) {
				reportAnswers(traits.filter(trait => quarantine.suspected.has(trait)));
			}
		},
		recordCompletion(instance, sentAtMs) {
			losses = forgetConnectionLosses(losses, {run: formatRun(instance.held.record), sentAtMs});
		},
		recordUnreachable(instance, {isEnded}) {
			const run = formatRun(instance.held.record);

			// Gateways that lost requests there may not try this instance again before it has restarted.
			if (isEnded && !reportedEndedRuns.has(run)) {
				addBounded(reportedEndedRuns, run, maxEndedRuns);
				sendReport({}, {endedRuns: [run]});
			}

			reportCrash(run);
		},
		applyRegistry({held}) {
			for (const run of losses.keys()) {
				const record = held.get(parseInstanceId(run))?.record;

				if (record === undefined || record.stage === InstanceStage.Gone || formatRun(record) !== run) {
					reportCrash(run);
				}
			}
		},
		applyQuarantine(from, message) {
			const nowMs = clock.readMonotonicMs();
			const {heard: next, shouldRepeat} = recordHeardQuarantine(heard, {from, message, nowMs});
			heard = next;

			if (shouldRepeat) {
				repeatReports(from);
			}

			setQuarantine(mergeQuarantines([...heard.values()].map(one => one.quarantine)));

			for (const trait of postponedTrials.keys()) {
				if (!quarantine.quarantined.has(trait)) {
					postponedTrials.delete(trait);
				}
			}

			for (const run of message.endedRuns) {
				reportCrash(run);
			}

			reportAnswers(quarantine.suspected);
		},
		repeatReports,
		countHeldBack: () => quarantine.quarantined.size,
	};
}

// Drops entries whose deadline has passed; the earliest stand first.
function dropExpired(deadlines: Map<string, number>, nowMs: number): void {
	for (const [key, deadlineMs] of deadlines) {
		if (deadlineMs > nowMs) {
			return;
		}

		deadlines.delete(key);
	}
}

// Adds to a set, and drops the oldest entry of one that is full.
function addBounded(set: Set<string>, value: string, maxSize: number): void {
	set.add(value);

	if (set.size > maxSize) {
		set.delete(set.values().next().value!);
	}
}

function formatRun({id, incarnation}: {readonly id: string; readonly incarnation: number}): string {
	return `${id} ${incarnation}`;
}

function parseInstanceId(run: string): string {
	return run.slice(0, run.lastIndexOf(' '));
}
