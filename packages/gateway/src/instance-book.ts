import {type Clock} from '@fescuestair/core';
import {
	InstanceStage, type InstanceRecord, type InstanceRegistry, type InstanceShare, type WorkShare,
} from '@fescuestair/instances';
import {
	addWork, advanceStanding, canSendTo, classifyStanding, computeCorrectionMs, computeWaitMs, correctClock, estimateWork, HealthEvent, isOverdue, isProperRest,
	mergeSample, noPeerLoad, resetClock, Standing, StandingEventKind, type PeerLoad, type StandingEvent,
} from '@fescuestair/routing';
import {type Log, type ServedMetrics} from '@fescuestair/runtime';
import {
	createEntry, describeAnnounced, type InstanceEntry, type Visit,
} from './instance-entry.js';

export type InstanceBookOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: ServedMetrics;
	/** Connections to one instance that this daemon may hold, by service. */
	readonly getMaxConnections: (service: string) => number;
	/** Work was added, or an estimate of it corrected, that the other gateways were not told of yet. */
	readonly onWork: (workMs: number) => void;
	/** An answer of this start of an instance says that it leaves. */
	readonly onLeaving: (record: InstanceRecord) => void;
};

export type InstanceBook = {
	readonly applyRegistry: (registry: InstanceRegistry) => void;
	/** Sets the bounds on connections anew: the configuration, or the number of gateways, changed. */
	readonly applyLimits: () => void;
	readonly get: (id: string) => InstanceEntry | undefined;
	/** Instances of a service that may take a request now. */
	readonly listOpen: (service: string) => readonly InstanceEntry[];
	/** When the first instance of a service ends the rest that it asked for, where none takes requests; `undefined` where none rests. */
	readonly findRestEndMs: (service: string) => number | undefined;
	/** Counts the instances of a service by how they stand. */
	readonly countStandings: (service: string) => Readonly<Record<string, number>>;
	readonly begin: (entry: InstanceEntry, visit: Visit) => void;
	/** The first piece came: its prompt has been read. */
	readonly noteFirstPiece: (entry: InstanceEntry, visit: Visit) => void;
	/** It turned a request away: it is full, loads other weights, or asked for a rest. */
	readonly noteRefused: (entry: InstanceEntry, askedRestMs: number | undefined) => void;
	/** It said in an answer that it leaves. */
	readonly noteLeaving: (entry: InstanceEntry, record: InstanceRecord) => void;
	readonly noteBytes: (entry: InstanceEntry) => void;
	readonly end: (entry: InstanceEntry, visit: Visit) => void;
	/** Lists what this daemon has at each instance. */
	readonly listShares: () => readonly InstanceShare[];
	/** Takes the work that the others were not told of yet. */
	readonly takeUntoldWork: () => readonly WorkShare[];
	readonly addPeerWork: (shares: readonly WorkShare[]) => void;
	/** Prompt tokens that engines of a service read in a ms, as their answers have told. */
	readonly getPrefillTokensPerMs: (service: string) => number;
	/** Sets what the others have there. */
	readonly setPeers: (peers: ReadonlyMap<string, PeerLoad>) => void;
	readonly judge: (entry: InstanceEntry, event: HealthEvent) => void;
	readonly stop: () => void;
};

/** Bytes that come sooner after others are not noted one by one. */
const heardStepMs = 20;
/** Each silence that is watched for lasts several times as long. */
const watchMs = 100;
/** What peers have is told later than their work: an instance counts as empty only if no work was told for this long. */
const peerWorkMs = 1500;
/** Prompts that take longer to read than this are watched for being late. */
const longWorkMs = 40;
/** By how much a late one is taken to be later still; more than the watch lasts. */
const overdueStepMs = 130;
/** Prompt tokens that an engine reads in a ms, until answers have told. */
const defaultPrefillTokensPerMs = 40;
/** Shorter prompts tell more of fixed costs than of the rate. */
const rateSampleTokens = 2000;
/** Weight of the newest sample: about twenty prompts are looked at. */
const rateSampleShare = 0.05;

/**
Creates the book of instances of one gateway.

@example
```
const book = createInstanceBook({clock, log, getMaxConnections: () => 40});
```
*/
export function createInstanceBook({
	clock, log, metrics, getMaxConnections, onWork, onLeaving,
}: InstanceBookOptions): InstanceBook {
	const entries = new Map<string, InstanceEntry>();
	/** The entries, for the choice of each request. */
	let byService = new Map<string, readonly InstanceEntry[]>();
	const rates = new Map<string, number>();
	let visits = 0;
	let timer: NodeJS.Timeout | undefined;

	const shiftWork = (entry: InstanceEntry, workMs: number) => {
		entry.load = {...entry.load, work: addWork(entry.load.work, workMs, clock.readMonotonicMs())};
		entry.untoldWorkMs += workMs;
		onWork(workMs);
	};

	const shiftClock = (entry: InstanceEntry, correctionMs: number) => {
		entry.load = {...entry.load, work: correctClock(entry.load.work, correctionMs, clock.readMonotonicMs())};
		entry.untoldCorrectionMs += correctionMs;
		onWork(correctionMs);
	};

	const learnRate = (service: string, sample: number) => {
		const before = rates.get(service) ?? defaultPrefillTokensPerMs;
		rates.set(service, before + (rateSampleShare * (sample - before)));
	};

	const advance = (entry: InstanceEntry, event: StandingEvent) => {
		entry.standing = advanceStanding(entry.standing, event, clock.readMonotonicMs());
	};

	const judge = (entry: InstanceEntry, event: HealthEvent) => {
		const before = entry.standing.health;
		advance(entry, {kind: StandingEventKind.Judged, event});
		const {health} = entry.standing;

		if (health.rests !== before.rests) {
			log.info(health.rests === 0 ? 'instance is sound again' : 'instance rests', {
				id: entry.held.record.id, event, rests: health.rests, failureShare: Number(health.failureShare.toFixed(2)),
				restMs: Math.round(Math.max(0, health.restDeadlineMs - clock.readMonotonicMs())),
			});
		}
	};

	const classify = ({standing, load}: InstanceEntry) => classifyStanding(standing, {own: load.own, nowMs: clock.readMonotonicMs()});

	const listOf = (service: string): readonly InstanceEntry[] => byService.get(service) ?? [];

	const groupByService = () => {
		byService = new Map();

		for (const entry of entries.values()) {
			const {service} = entry.held.record;
			byService.set(service, [...byService.get(service) ?? [], entry]);
		}
	};

	// An instance that is late with a long prompt is still reading it: until its first piece comes, it stays busy.
	const extendOverdue = (entry: InstanceEntry, nowMs: number) => {
		for (const estimate of entry.visits.values()) {
			if (estimate !== undefined && estimate.workMs >= longWorkMs && isOverdue(entry.load.work, estimate, nowMs)) {
				shiftClock(entry, overdueStepMs);

				return;
			}
		}
	};

	// What is awaited from an instance that says nothing at all any more may go on elsewhere.
	const watch = () => {
		const nowMs = clock.readMonotonicMs();

		if (visits === 0) {
			clearInterval(timer);
			timer = undefined;
		}

		for (const entry of entries.values()) {
			if (entry.visits.size === 0) {
				continue;
			}

			extendOverdue(entry, nowMs);
			const silentVisits = [...entry.visits.keys()].filter(visit => nowMs - Math.max(visit.startedAtMs, entry.standing.answeredAtMs) >= visit.silenceMs);

			if (silentVisits.length === 0) {
				continue;
			}

			judge(entry, HealthEvent.Silent);

			for (const visit of silentVisits) {
				visit.onSilent();
			}
		}
	};

	return {
		applyRegistry(registry) {
			for (const held of registry.held.values()) {
				const known = entries.get(held.record.id);
				const isSame = known?.held.record.incarnation === held.record.incarnation && known.held.record.address === held.record.address;

				if (isSame) {
					known.held = held;
					advance(known, {kind: StandingEventKind.Announced, ...describeAnnounced(held)});
				} else if (held.record.stage !== InstanceStage.Gone) {
					known?.agent.destroy();
					entries.set(held.record.id, createEntry(held, getMaxConnections(held.record.service)));
				}
			}

			for (const [id, entry] of entries) {
				const isForgotten = !registry.held.has(id);

				if ((isForgotten || entry.held.record.stage === InstanceStage.Gone) && entry.visits.size === 0) {
					entry.agent.destroy();
					entries.delete(id);
				}
			}

			groupByService();
		},
		applyLimits() {
			for (const {agent, held} of entries.values()) {
				agent.setMaxConnections(getMaxConnections(held.record.service));
			}
		},
		get: id => entries.get(id),
		listOpen(service) {
			const nowMs = clock.readMonotonicMs();
			const free: InstanceEntry[] = [];
			const full: InstanceEntry[] = [];

			for (const entry of listOf(service)) {
				const standing = classifyStanding(entry.standing, {own: entry.load.own, nowMs});

				if (canSendTo(standing)) {
					(standing === Standing.Full ? full : free).push(entry);
				}
			}

			return free.length > 0 ? free : full;
		},
		findRestEndMs(service) {
			const ends = listOf(service).filter(entry => classify(entry) === Standing.Resting).map(({standing}) => standing.restDeadlineMs);

			return ends.length === 0 ? undefined : Math.min(...ends);
		},
		countStandings(service) {
			const counts: Record<string, number> = {};

			for (const entry of listOf(service)) {
				const standing = classify(entry);
				counts[standing] = (counts[standing] ?? 0) + 1;
			}

			return counts;
		},
		begin(entry, visit) {
			const nowMs = clock.readMonotonicMs();
			const wasIdle = computeWaitMs(entry.load.work, nowMs) === 0;
			visits++;
			timer ??= setInterval(watch, watchMs);
			shiftWork(entry, visit.workMs);
			entry.visits.set(visit, visit.workMs === 0 ? undefined : {...estimateWork(entry.load.work, visit.workMs), wasIdle});
			entry.load = {
				...entry.load,
				own: entry.load.own + 1,
				ownHeldTokens: entry.load.ownHeldTokens + visit.heldTokens,
			};
		},
		noteFirstPiece(entry, visit) {
			const nowMs = clock.readMonotonicMs();
			const estimate = entry.visits.get(visit);
			const {service} = entry.held.record;
			metrics.observeMs('first_piece_ms', {service}, nowMs - visit.startedAtMs);
			metrics.observeMs('first_piece_expected_ms', {service}, visit.expectedMs);
			entry.load = {...entry.load, meanMs: mergeSample(entry.load.meanMs, nowMs - visit.startedAtMs)};

			if (estimate === undefined) {
				return;
			}

			entry.visits.set(visit, undefined);
			shiftClock(entry, computeCorrectionMs(entry.load.work, estimate, nowMs));

			if (estimate.wasIdle && visit.uncachedTokens >= rateSampleTokens) {
				learnRate(entry.held.record.service, visit.uncachedTokens / Math.max(1, nowMs - visit.startedAtMs));
			}
		},
		noteRefused(entry, askedRestMs) {
			advance(entry, {kind: StandingEventKind.TurnedAway, askedRestMs});

			if (askedRestMs !== undefined) {
				log.info(isProperRest(askedRestMs) ? 'instance asks for a rest' : 'instance asks for a rest that cannot be meant', {
					id: entry.held.record.id, askedRestMs,
				});
			}
		},
		noteLeaving(entry, record) {
			const isKnown = entry.standing.isLeaving;
			advance(entry, {kind: StandingEventKind.LeavingHeard, incarnation: record.incarnation});

			if (entry.standing.isLeaving && !isKnown) {
				log.info('instance says in an answer that it leaves', {id: record.id, incarnation: record.incarnation});
				onLeaving(record);
			}
		},
		noteBytes(entry) {
			// Silences are many times as long; streams come in hundreds of pieces a second.
			if (clock.readMonotonicMs() - entry.standing.answeredAtMs < heardStepMs) {
				return;
			}

			advance(entry, {kind: StandingEventKind.Heard});
		},
		end(entry, visit) {
			// What ends before its first piece is not read to its end.
			const estimate = entry.visits.get(visit);

			if (estimate !== undefined) {
				shiftWork(entry, -Math.max(0, Math.min(estimate.workMs, estimate.doneAtMs - clock.readMonotonicMs())));
			}

			visits -= entry.visits.delete(visit) ? 1 : 0;
			entry.load = {
				...entry.load,
				own: Math.max(0, entry.load.own - 1),
				ownHeldTokens: Math.max(0, entry.load.ownHeldTokens - visit.heldTokens),
			};
		},
		listShares: () => [...entries].filter(([, {load}]) => load.own > 0)
			.map(([id, {load}]) => [id, load.own, Math.round(load.ownHeldTokens)]),
		takeUntoldWork() {
			const untold: WorkShare[] = [];

			for (const [id, entry] of entries) {
				if (Math.abs(entry.untoldWorkMs) >= 1 || Math.abs(entry.untoldCorrectionMs) >= 1) {
					untold.push([id, Math.round(entry.untoldWorkMs), Math.round(entry.untoldCorrectionMs)]);
					entry.untoldWorkMs = 0;
					entry.untoldCorrectionMs = 0;
				}
			}

			return untold;
		},
		addPeerWork(shares) {
			for (const [id, workMs, correctionMs] of shares) {
				const entry = entries.get(id);

				if (entry !== undefined) {
					const nowMs = clock.readMonotonicMs();
					entry.peerWorkAtMs = nowMs;
					entry.load = {...entry.load, work: correctClock(addWork(entry.load.work, workMs, nowMs), correctionMs, nowMs)};
				}
			}
		},
		getPrefillTokensPerMs: service => rates.get(service) ?? defaultPrefillTokensPerMs,
		setPeers(peers) {
			const nowMs = clock.readMonotonicMs();

			for (const [id, entry] of entries) {
				const next = peers.get(id) ?? noPeerLoad;

				entry.load = {
					...entry.load,
					peers: next,
					// Where nobody has anything, nothing is left to read, whatever was added and taken back.
					work: entry.load.own === 0 && next.requests === 0 && nowMs - entry.peerWorkAtMs >= peerWorkMs ? resetClock(entry.load.work) : entry.load.work,
				};
			}
		},
		judge,
		stop() {
			clearInterval(timer);

			for (const entry of entries.values()) {
				entry.agent.destroy();
			}
		},
	};
}
