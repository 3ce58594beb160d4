import {
	computeHashHex, isBoolean, isObjectWith, type Clock,
} from '@fescuestair/core';
import {
	explainCrashes, createQuarantine, createTrialReport, decideTrial, decodeCrashReport, dropOldCrashes, emptyQuarantine, encodeCrashReport, encodeQuarantine,
	isCrashReportMessage, isTraits, isTrialReply, listCrashEvidence, mergeCrashReport, noCrashEvidence, type CrashExplanation, type CrashEvidence, type CrashReportMessage,
	type Quarantine, type QuarantineMessage, type TrialReply,
} from '@fescuestair/crashes';
import {
	callAndValidate, isName, LinkMessageKind, requireValid, type LinkCaller, type LinkCommands, type LinkMessage, type LinkReplyCallback,
} from '@fescuestair/protocol';
import {type Logger, type PrometheusMetrics} from '@fescuestair/runtime';

export type CrashEvidenceHostOptions = {
	readonly linkAddress: string;
	readonly clock: Clock;
	readonly links: LinkCaller;
	readonly log: Pick<Logger, 'info' | 'warn'>;
	readonly metrics: Pick<PrometheusMetrics, 'registerGauge'>;
	readonly commands: LinkCommands;
	/** Whether this coordinator alone may grant trials. */
	readonly isLeader: () => boolean;
	/** Link address of the leader; `undefined` while none is known or this coordinator leads. */
	readonly findLeaderAddress: () => string | undefined;
	readonly sendToCoordinators: (message: LinkMessage) => void;
	readonly sendToGateways: (message: LinkMessage) => void;
};

/** A coordinator's evidence about crashes, and what it has gateways hold back. All coordinators collect the same evidence. */
export type CrashEvidenceHost = {
	/** What gateways hold back now, for one that may not know. */
	readonly describeQuarantine: () => QuarantineMessage;
	/** Digest of the evidence; equal at coordinators that have the same. */
	readonly getDigest: () => string;
	/** Evidence for another coordinator that may lack some; `undefined` where it has the same, or was sent it lately. */
	readonly describeEvidence: (address: string, digest: string | undefined) => CrashReportMessage | undefined;
	/** Merges the evidence of another coordinator. */
	readonly merge: (report: CrashReportMessage) => void;
	readonly stop: () => void;
};

/** Changes of this span are sent to gateways in one message: the reports about one crash arrive almost together. */
const publishDelayMs = 30;
const refreshIntervalMs = 5000;
/** An instance that ended stays listed for this long, in which gateways report what they lost there. */
const endedRunRetentionMs = 10_000;
const maxEndedRuns = 200;
const evidenceIntervalMs = 3000;
/**
A coordinator that has just started gets reports of crashes before the answers since, which would clear sound traits. It holds nothing back by itself for
this long; gateways keep what they were told before.
*/
const learningMs = 3000;
const trialCallTimeoutMs = 200;

/**
Creates the evidence of a coordinator about crashes. Nothing is computed while there is none.

@example
```
const crashEvidence = createCrashEvidenceHost({linkAddress, clock, links, log, metrics, commands, isLeader, findLeaderAddress, sendToCoordinators, sendToGateways});
crashEvidence.describeQuarantine(); //=> {quarantined: [], suspected: [], endedRuns: [], collectedForMs: 0}
```
*/
export function createCrashEvidenceHost(options: CrashEvidenceHostOptions): CrashEvidenceHost {
	const {
		linkAddress, clock, links, log, metrics, commands, isLeader, findLeaderAddress, sendToCoordinators, sendToGateways,
	} = options;
	/** By run of an instance that refused a connection: when it was first reported. */
	const endedRuns = new Map<string, number>();
	const startedAtMs = clock.readMonotonicMs();
	const evidenceSentAtMs = new Map<string, number>();
	let evidence: CrashEvidence = noCrashEvidence;
	let explanation: CrashExplanation = explainCrashes(evidence, 0);
	let quarantine: Quarantine = emptyQuarantine;
	let digested = {evidence, digest: computeDigest(evidence)};
	let publishTimer: NodeJS.Timeout | undefined;
	let settleTimer: NodeJS.Timeout | undefined;

	const isLearning = (nowMs: number) => nowMs - startedAtMs < learningMs;

	const describeQuarantine = () => {
		const nowMs = clock.readMonotonicMs();

		for (const [run, atMs] of endedRuns) {
			if (nowMs - atMs >= endedRunRetentionMs) {
				endedRuns.delete(run);
			}
		}

		return encodeQuarantine(quarantine, {nowMs, endedRuns: [...endedRuns.keys()], collectedForMs: nowMs - startedAtMs});
	};

	const getDigest = () => {
		digested = digested.evidence === evidence ? digested : {evidence, digest: computeDigest(evidence)};

		return digested.digest;
	};

	const logChanges = (next: Quarantine) => {
		for (const [trait, {crashCount, trialAtMs}] of next.quarantined) {
			if (!quarantine.quarantined.has(trait)) {
				const instances = [...evidence.crashes].filter(([, {requests}]) => [...requests.values()].some(({traits}) => traits.includes(trait))).map(([run]) => run);
				log.warn('crashes are attributed to a trait of requests', {
					trait, crashes: crashCount, instances, trialInMs: Math.round(trialAtMs - clock.readMonotonicMs()),
				});
			}
		}

		for (const trait of quarantine.quarantined.keys()) {
			if (!next.quarantined.has(trait)) {
				log.info('crashes are not attributed to a trait of requests any more', {trait, answered: evidence.answeredAtMs.has(trait)});
			}
		}
	};

	const refresh = () => {
		const nowMs = clock.readMonotonicMs();
		evidence = dropOldCrashes(evidence, nowMs);
		explanation = explainCrashes(evidence, nowMs);
		const settlesAtMs = isLearning(nowMs) ? startedAtMs + learningMs : explanation.settlesAtMs;
		const next = createQuarantine(evidence, isLearning(nowMs) ? {...explanation, quarantined: new Map()} : explanation);
		logChanges(next);
		quarantine = next;

		if (settlesAtMs !== undefined) {
			clearTimeout(settleTimer);
			settleTimer = setTimeout(publish, Math.max(1, settlesAtMs - nowMs));
		}
	};

	const publish = () => {
		clearTimeout(publishTimer);
		publishTimer = undefined;
		refresh();
		sendToGateways({kind: LinkMessageKind.Quarantine, from: linkAddress, quarantine: describeQuarantine()});
	};

	const schedulePublish = () => {
		publishTimer ??= setTimeout(publish, publishDelayMs);
	};

	const addEndedRuns = (runs: readonly string[]) => {
		const news = runs.filter(run => !endedRuns.has(run));

		for (const run of news.slice(0, maxEndedRuns - endedRuns.size)) {
			endedRuns.set(run, clock.readMonotonicMs());
		}

		return news.length > 0;
	};

	// Returns whether the report contained anything new.
	const addReport = (report: CrashReportMessage) => {
		const nowMs = clock.readMonotonicMs();
		const next = mergeCrashReport(evidence, decodeCrashReport(report, nowMs), nowMs);
		const isNew = next !== evidence;

		for (const [run, {requests}] of next.crashes) {
			if (!evidence.crashes.has(run)) {
				log.info('an instance crashed', {run, id: run.slice(0, run.lastIndexOf(' ')), requests: requests.size});
			}
		}

		evidence = next;
		const hasEndedRuns = addEndedRuns(report.endedRuns);

		if (isNew || hasEndedRuns) {
			schedulePublish();
		}

		return isNew || hasEndedRuns;
	};

	const decide = (traits: readonly string[]): TrialReply => {
		const nowMs = clock.readMonotonicMs();
		refresh();

		if (isLearning(nowMs)) {
			return {isGranted: false, retryInMs: startedAtMs + learningMs - nowMs};
		}

		const {isGranted, retryAtMs} = decideTrial({traits, evidence, explanation}, nowMs);

		if (!isGranted) {
			return {isGranted, retryInMs: Math.max(1, retryAtMs - nowMs)};
		}

		const trials = createTrialReport({traits, evidence, explanation}, nowMs);
		evidence = mergeCrashReport(evidence, {trials}, nowMs);
		refresh();
		log.info('a trial is granted', {trials});
		sendToCoordinators({
			kind: LinkMessageKind.CrashReport, from: linkAddress, report: encodeCrashReport({trials}, {nowMs}), isRelayed: true,
		});
		schedulePublish();

		return {isGranted, retryInMs: Math.max(1, decideTrial({traits, evidence, explanation}, nowMs).retryAtMs - nowMs)};
	};

	const relayQuestion = async (traits: readonly string[], reply: LinkReplyCallback) => {
		const address = findLeaderAddress();

		if (address === undefined) {
			reply?.({kind: 'error', message: 'no leader is known'});

			return;
		}

		try {
			const answer = await callAndValidate(links, {address, message: {kind: LinkMessageKind.ReserveTrial, traits, isRelayed: true}, timeoutMs: trialCallTimeoutMs});
			reply?.(answer.kind === 'trial' ? {kind: 'trial', trial: requireValid(answer.trial, isTrialReply, address)} : answer);
		} catch (error) {
			reply?.({kind: 'error', message: String(error)});
		}
	};

	const unregisterReport = commands.registerCommand(LinkMessageKind.CrashReport, isObjectWith({from: isName, report: isCrashReportMessage, isRelayed: isBoolean}), ({from, report, isRelayed}) => {
		if (addReport(report) && !isRelayed) {
			sendToCoordinators({
				kind: LinkMessageKind.CrashReport, from, report, isRelayed: true,
			});
		}

		return true;
	});
	const unregisterTrial = commands.registerCommand(LinkMessageKind.ReserveTrial, isObjectWith({traits: isTraits, isRelayed: isBoolean}), ({traits, isRelayed, reply}) => {
		if (isLeader()) {
			reply?.({kind: 'trial', trial: decide(traits)});
		} else if (isRelayed) {
			reply?.({kind: 'error', message: 'not the leader'});
		} else {
			void relayQuestion(traits, reply);
		}

		return true;
	});
	metrics.registerGauge('crashes_recorded', 'Crashes of instances on record as evidence', () => evidence.crashes.size);
	metrics.registerGauge('traits_quarantined', 'Prompt parts and requests that are held back because instances crashed under them', () => quarantine.quarantined.size);

	const timer = setInterval(() => {
		if (evidence.crashes.size > 0) {
			refresh();
		}
	}, refreshIntervalMs);

	return {
		describeQuarantine,
		getDigest,
		describeEvidence(address, digest) {
			const nowMs = clock.readMonotonicMs();

			if (digest === undefined || digest === getDigest() || nowMs - (evidenceSentAtMs.get(address) ?? Number.NEGATIVE_INFINITY) < evidenceIntervalMs) {
				return undefined;
			}

			evidenceSentAtMs.set(address, nowMs);

			return encodeCrashReport(listCrashEvidence(evidence), {nowMs});
		},
		merge(report) {
			addReport(report);
		},
		stop() {
			unregisterReport();
			unregisterTrial();
			clearInterval(timer);
			clearTimeout(publishTimer);
			clearTimeout(settleTimer);
		},
	};
}

// Covers which requests were in which crash, and which of their traits were answered since. Times differ between daemons.
function computeDigest({crashes, answeredAtMs, trials}: CrashEvidence): string {
	if (crashes.size === 0) {
		return '';
	}

	const entries = [...crashes].map(([run, {atMs, requests}]) => {
		const unanswered = [...requests.values()].flatMap(({traits}) => traits).filter(trait => (answeredAtMs.get(trait) ?? Number.NEGATIVE_INFINITY) <= atMs);

		return `${run} ${requests.size} ${unanswered.length}`;
	});
	const trialEntries = [...trials].map(([trait, {count}]) => `${trait} ${count}`);

	return computeHashHex([...entries, ...trialEntries].toSorted((a, b) => a < b ? -1 : 1).join('\n'));
}
