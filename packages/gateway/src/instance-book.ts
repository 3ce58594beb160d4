import {type Clock} from '@fescuestair/core';
import {
	InstanceStage, type InstanceRegistry, type InstanceShare, type WorkShare,
} from '@fescuestair/instances';
import {
	addWork, canTakeRequests, computeCorrectionMs, computeWaitMs, correctClock, estimateWork, HealthEvent, isOverdue, judgeInstance, mergeSample, noPeerLoad,
	resetClock, type PeerLoad,
} from '@fescuestair/routing';
import {type Log, type ServedMetrics} from '@fescuestair/runtime';
import {createEntry, type InstanceEntry, type Visit} from './instance-entry.js';

export type InstanceBookOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: ServedMetrics;
	/** Connections to one instance that this daemon may hold, by service. */
	readonly getMaxConnections: (service: string) => number;
	/** Work was added, or an estimate of it corrected, that the other gateways were not told of yet. */
	readonly onWork: (workMs: number) => void;
};

export type InstanceBook = {
	readonly applyRegistry: (registry: InstanceRegistry) => void;
	/** Sets the bounds on connections anew: the configuration, or the number of gateways, changed. */
	readonly applyLimits: () => void;
	readonly get: (id: string) => InstanceEntry | undefined;
	/** Instances of a service that may take a request now. */
	readonly listOpen: (service: string) => readonly InstanceEntry[];
	readonly begin: (entry: InstanceEntry, visit: Visit) => void;
	/** The first piece came: its prompt has been read. */
	readonly noteFirstPiece: (entry: InstanceEntry, visit: Visit) => void;
	/** It turned a request away: it is full, or loads other weights. */
	readonly noteRefused: (entry: InstanceEntry) => void;
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

/** An instance that said nothing of itself for this long, and answered nothing either, is taken for lost: four announcements. */
const lostMs = 5500;
/** An instance that turned a request away is left alone for a moment: a place frees up about as often. */
const fullMs = 150;
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
	clock, log, metrics, getMaxConnections, onWork,
}: InstanceBookOptions): InstanceBook {
	const entries = new Map<string, InstanceEntry>();
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

	const judge = (entry: InstanceEntry, event: HealthEvent) => {
		const before = entry.health;
		entry.health = judgeInstance(before, event, clock.readMonotonicMs());

		if (entry.health.rests !== before.rests) {
			log.info(entry.health.rests === 0 ? 'instance is sound again' : 'instance rests', {
				id: entry.held.record.id, event, rests: entry.health.rests, failureShare: Number(entry.health.failureShare.toFixed(2)),
				restMs: Math.round(Math.max(0, entry.health.restDeadlineMs - clock.readMonotonicMs())),
			});
		}
	};

	const isOpen = ({held, health, load, lastByteAtMs}: InstanceEntry, nowMs: number) => held.record.stage === InstanceStage.Ready
		&& held.loadingDeadlineMs <= nowMs
		&& nowMs - Math.max(held.heardAtMs, lastByteAtMs) < lostMs
		&& canTakeRequests(health, load.own, nowMs);

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
			const silentVisits = [...entry.visits.keys()].filter(visit => nowMs - Math.max(visit.startedAtMs, entry.lastByteAtMs) >= visit.silenceMs);

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
		},
		applyLimits() {
			for (const {agent, held} of entries.values()) {
				agent.setMaxConnections(getMaxConnections(held.record.service));
			}
		},
		get: id => entries.get(id),
		listOpen(service) {
			const nowMs = clock.readMonotonicMs();

			const open = [...entries.values()].filter(entry => entry.held.record.service === service && isOpen(entry, nowMs));
			const free = open.filter(entry => entry.fullDeadlineMs <= nowMs);

			return free.length > 0 ? free : open;
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
		noteRefused(entry) {
			entry.fullDeadlineMs = clock.readMonotonicMs() + fullMs;
		},
		noteBytes(entry) {
			entry.lastByteAtMs = clock.readMonotonicMs();
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
