import {startInterval, type Clock} from '@fescuestair/core';
import {
	InstanceStage, type InstanceRecord, type InstanceRegistry, type InstanceShare, maxSlowdown, type PaceNote, type WorkDelta,
} from '@fescuestair/instances';
import {
	addWork, applyInstanceEvent, canSendTo, classifyInstance, computeCorrectionMs, computeLoadSpread, computeWaitMs, correctBacklog, createDispatchRate, estimateUnseenRequests,
	estimateWork, HealthEvent, isOverdue, isValidBackoff, endPause, noPeerLoad, recordDispatch, recordFirstOutput, recordRequestTime, startPause, resetBacklog,
	InstanceStatus, InstanceEventKind, type DispatchRate, type PeerLoad, type InstanceEvent, type LoadReport,
} from '@fescuestair/routing';
import {type Logger, type PrometheusMetrics} from '@fescuestair/runtime';
import {
	createPooledInstance, describeAnnouncedStanding, type PooledInstance, type InFlightRequest,
} from './pooled-instance.js';
import {createPrefillRates} from './prefill-rates.js';

export type InstancePoolOptions = {
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: PrometheusMetrics;
	/** Bound on this gateway's connections to one instance of a service. */
	readonly getMaxConnections: (service: string) => number;
	/** Until when no request may be sent to an instance because of the limit that it names; a past time if none applies. */
	readonly getLimitedUntilMs: (record: InstanceRecord) => number;
	/** Whether nothing is to be sent to the instances of an availability zone. */
	readonly isZoneEvacuated?: (availabilityZone: string) => boolean;
	/** Called when work was added, or an estimate corrected, that has not been sent to the other gateways yet. */
	readonly onWorkChange: (workMs: number) => void;
	/** Called when a response of an instance reports for the first time that this incarnation is leaving. */
	readonly onLeaving: (record: InstanceRecord) => void;
	/** Calls a function repeatedly; returns a function that ends it. */
	readonly repeat?: (callback: () => void, intervalMs: number) => () => void;
};

/** Load that an instance reported just now. */
export type ReportedLoad = Pick<LoadReport, 'running' | 'waiting' | 'slots'> & {readonly slowdown?: number | undefined};

export type InstanceFilter = (instance: PooledInstance) => boolean;

export type InstancePool = {
	readonly applyRegistry: (registry: InstanceRegistry) => void;
	/** Recomputes the bounds on connections after a change of the configuration or of the number of gateways. */
	readonly applyLimits: () => void;
	readonly get: (id: string) => PooledInstance | undefined;
	/** Instances of a service, of those that pass the filter, that may accept a request now; full ones only if there is no other. */
	readonly listAvailable: (service: string, filter?: InstanceFilter) => readonly PooledInstance[];
	/** Whether an instance that passes the filter has not said that it leaves, is heard, and is not in an evacuated zone. */
	readonly hasServing: (service: string, filter: InstanceFilter) => boolean;
	/** Whether the zone of an instance is evacuated, so that nothing is to be sent to it. */
	readonly isEvacuated: (instance: PooledInstance) => boolean;
	/** Counts by zone the instances that pass the filter and lie in evacuated zones; `undefined` where there are none, or others serve. */
	readonly countOnlyEvacuated: (service: string, filter: InstanceFilter) => Readonly<Record<string, number>> | undefined;
	/** Instances of a service that would take requests but for the limits that they named. */
	readonly listLimited: (service: string) => readonly PooledInstance[];
	/** Finds an instance that a request with a permit may be sent to, whatever its limit; `undefined` where it takes none or has restarted. */
	readonly findSendable: (record: InstanceRecord) => PooledInstance | undefined;
	/** Earliest end of a back-off that an instance of the service requested; `undefined` where none is backing off at its own request. */
	readonly findRestEndMs: (service: string, filter?: InstanceFilter) => number | undefined;
	/** Counts the instances of a service by status. */
	readonly countStandings: (service: string) => Readonly<Record<string, number>>;
	readonly begin: (instance: PooledInstance, request: InFlightRequest) => void;
	/** Records that a response has begun, or that the attempt has ended without one: the prefill of the prompt counts as done. */
	readonly recordFirstPiece: (instance: PooledInstance, request: InFlightRequest) => void;
	/** Records that the instance rejected a request: it is full, loads other weights, or requests a back-off. */
	readonly recordRefusal: (instance: PooledInstance, askedRestMs: number | undefined) => void;
	/** Records that a response reported that the instance is leaving. */
	readonly recordLeaving: (instance: PooledInstance, record: InstanceRecord) => void;
	readonly recordActivity: (instance: PooledInstance) => void;
	/** Measures for how long an instance has sent nothing although this gateway was reading. */
	readonly measureSilenceMs: (instance: PooledInstance, request: InFlightRequest) => number;
	/** Whether an instance has sent nothing for longer than it should need for a request. */
	readonly isSilent: (instance: PooledInstance, request: InFlightRequest) => boolean;
	readonly end: (instance: PooledInstance, request: InFlightRequest) => void;
	/** Lists this gateway's in-flight load at each instance. */
	readonly listShares: () => readonly InstanceShare[];
	/** Returns the work that has not been sent to the other gateways yet, and resets it. */
	readonly takeUnsentWork: () => readonly WorkDelta[];
	/** Returns the paces that have not been sent to the other gateways yet, and resets them. */
	readonly takeUnsentPaces: () => readonly PaceNote[];
	/** Records the pace of instances as they told it to other gateways a moment ago. */
	readonly recordPeerPaces: (paces: readonly PaceNote[]) => void;
	readonly addPeerWork: (shares: readonly WorkDelta[]) => void;
	/** Records the load that an instance reports with a response, and its pace where it tells that. */
	readonly recordLoad: (instance: PooledInstance, load: ReportedLoad) => void;
	/** Estimates the requests of that many other gateways to a service that this one does not know of yet. */
	readonly estimateUnseenRequests: (service: string, otherGateways: number) => number;
	/** Counts the calls of a service since the last one that asked an instance again; infinite where none has. */
	readonly getCallsSinceRevisit: (service: string) => number;
	/** Measures for how long nothing was heard of the requests of other gateways. */
	readonly measureViewAgeMs: () => number;
	/** Computes for each service with requests in flight how many of them the busiest instance has, as a multiple of the mean. */
	readonly computeSpreads: () => ReadonlyArray<readonly [service: string, busiestToMean: number]>;
	/** Prefill rate of the engines of a service in prompt tokens per ms, estimated from their response times. */
	readonly getPrefillTokensPerMs: (service: string) => number;
	/** Replaces the in-flight load that the other gateways report. */
	readonly setPeerLoads: (peers: ReadonlyMap<string, PeerLoad>) => void;
	readonly recordHealthEvent: (instance: PooledInstance, event: HealthEvent) => void;
	readonly stop: () => void;
};

/** Shortest interval between two records of activity. Streams arrive in hundreds of pieces a second, and silence time-outs are many times longer. */
const activityIntervalMs = 20;
/** Interval of the check for silent instances and overdue prompts; each silence time-out is several times longer. */
const checkIntervalMs = 100;
/** A check that is later than this shows that the process stood still. Later than on a busy machine, where silence has to be noticed too. */
const stallMs = 500;
/** An instance that is slower by this factor delays callers; the other gateways are told, and when it is over. */
const minSlowPace = 1.25;
/** Time that a pace takes from one gateway to the others: what an instance told here later is newer. */
const paceRelayMs = 30;
/** Time in which a process that stood still reads what had arrived meanwhile. */
const oldMessagesMs = 50;
/** Peers report their in-flight requests later than their work: an instance counts as idle only if no work was reported for this long. */
const peerWorkGraceMs = 1500;
/** Only prompts with at least this much estimated prefill time are checked for being overdue. */
const minOverdueWorkMs = 40;
/** Time added to the work estimate when a prompt is overdue; longer than the check interval, so that the instance stays busy until the next check. */
const overdueExtensionMs = 130;

/**
Creates the pool of instances of one gateway: their connections, status, in-flight requests and estimated work.

@example
```
const pool = createInstancePool({clock, log, metrics, getMaxConnections: () => 40, getLimitedUntilMs, onWorkChange, onLeaving});
```
*/
export function createInstancePool({
	clock, log, metrics, getMaxConnections, getLimitedUntilMs, isZoneEvacuated = () => false, onWorkChange, onLeaving, repeat = startInterval,
}: InstancePoolOptions): InstancePool {
	const instances = new Map<string, PooledInstance>();
	/** Instances that were replaced by others of the same id, while requests have not ended there. */
	const retired = new Set<PooledInstance>();
	/** Index of the instances by service: each request chooses among those of one. */
	let byService = new Map<string, readonly PooledInstance[]>();
	const prefillRates = createPrefillRates();
	const dispatchRates = new Map<string, DispatchRate>();
	const callsSinceRevisit = new Map<string, number>();
	let heardPeersAtMs = clock.readMonotonicMs();
	let inFlightCount = 0;
	let nextCheckMs = Number.POSITIVE_INFINITY;
	/** End of the latest time in which this process stood still, and read nothing. */
	let stallEndedMs = Number.NEGATIVE_INFINITY;
	let endChecks: (() => void) | undefined;

	const adjustWork = (instance: PooledInstance, workMs: number) => {
		instance.load = {...instance.load, work: addWork(instance.load.work, workMs, clock.readMonotonicMs())};
		instance.unsentWorkMs += workMs;
		onWorkChange(workMs);
	};

	const correctWork = (instance: PooledInstance, correctionMs: number) => {
		instance.load = {...instance.load, work: correctBacklog(instance.load.work, correctionMs, clock.readMonotonicMs())};
		instance.unsentCorrectionMs += correctionMs;
		onWorkChange(correctionMs);
	};

	const applyStandingEvent = (instance: PooledInstance, event: InstanceEvent) => {
		instance.standing = applyInstanceEvent(instance.standing, event, clock.readMonotonicMs());
	};

	const applyHealthEvent = (instance: PooledInstance, event: HealthEvent) => {
		const previous = instance.standing.health;
		applyStandingEvent(instance, {kind: InstanceEventKind.HealthObserved, event});
		const {health} = instance.standing;

		if (health.rests !== previous.rests) {
			log.info(health.rests < previous.rests ? 'instance is sound again' : 'instance rests', {
				id: instance.held.record.id, event, rests: health.rests, failureShare: Number(health.failureShare.toFixed(2)),
				restMs: Math.round(Math.max(0, health.backoffDeadlineMs - clock.readMonotonicMs())),
			});
		}
	};

	const measureSilenceMs = ({standing}: PooledInstance, {getReadingSinceMs}: InFlightRequest) => {
		const readingSinceMs = getReadingSinceMs();

		return readingSinceMs === undefined ? 0 : clock.readMonotonicMs() - Math.max(readingSinceMs, standing.answeredAtMs, stallEndedMs);
	};

	// Instances have done most of the work that others sent while this process stood still. Added as if it were new, it would leave only those
	// instances idle that nobody had chosen, and all who stood still would send to these.
	const isReadingOld = () => clock.readMonotonicMs() - stallEndedMs < oldMessagesMs;

	const isSilent = (instance: PooledInstance, request: InFlightRequest) => measureSilenceMs(instance, request) >= request.silenceTimeoutMs;

	// Requests that are kept at a silent instance do not stand in the way of a trial.
	const countOwn = (instance: PooledInstance) => instance.standing.health.beforeTimeout === undefined
		? instance.load.own
		: instance.load.own - [...instance.inFlight.keys()].filter(request => isSilent(instance, request)).length;

	const isEvacuated = ({held}: PooledInstance) => isZoneEvacuated(held.record.availabilityZone);

	const classify = (instance: PooledInstance) => classifyInstance(instance.standing, {
		own: countOwn(instance), limitedUntilMs: getLimitedUntilMs(instance.held.record), isEvacuated: isEvacuated(instance), nowMs: clock.readMonotonicMs(),
	});

	const getCallsSinceRevisit = (service: string) => callsSinceRevisit.get(service) ?? Number.POSITIVE_INFINITY;

	const listInstances = (service: string): readonly PooledInstance[] => byService.get(service) ?? [];

	// The connections end with their requests, some of which the instance may have got after it restarted. Those of an earlier process are reset, or silent.
	const replaceInstance = (known: PooledInstance, record: InstanceRecord) => {
		known.agent.retire();

		if (known.inFlight.size === 0) {
			return;
		}

		retired.add(known);
		log.info('requests go on at an instance that was announced anew', {
			id: record.id, running: known.inFlight.size, address: record.address, incarnation: record.incarnation, addressBefore: known.held.record.address,
			incarnationBefore: known.held.record.incarnation,
		});
	};

	const groupByService = () => {
		byService = new Map();

		for (const instance of instances.values()) {
			const {service} = instance.held.record;
			byService.set(service, [...byService.get(service) ?? [], instance]);
		}
	};

	// An instance whose long prompt is overdue is still in its prefill, so it has to count as busy until the response begins.
	const extendOverdue = (instance: PooledInstance, nowMs: number) => {
		for (const estimate of instance.inFlight.values()) {
			if (estimate !== undefined && estimate.workMs >= minOverdueWorkMs && isOverdue(instance.load.work, estimate, nowMs)) {
				correctWork(instance, overdueExtensionMs);

				return;
			}
		}
	};

	// Reports requests at instances that have sent no bytes within the silence time-out, so that other instances can be asked as well.
	const checkInFlight = () => {
		const nowMs = clock.readMonotonicMs();

		// What instances sent while this process stood still has not been read yet.
		if (nowMs - nextCheckMs > stallMs) {
			stallEndedMs = nowMs;
		}

		nextCheckMs = nowMs + checkIntervalMs;

		if (inFlightCount === 0) {
			endChecks?.();
			endChecks = undefined;
		}

		for (const instance of [...instances.values(), ...retired]) {
			if (instance.inFlight.size === 0) {
				continue;
			}

			extendOverdue(instance, nowMs);
			const timedOut = [...instance.inFlight.keys()].filter(request => isSilent(instance, request));

			if (timedOut.length === 0) {
				continue;
			}

			instance.pauses = startPause(instance.pauses);

			// Requests that are kept through a silence are counted once: only a further one, as a trial, makes the back-off longer.
			if (timedOut.some(request => !instance.silentRequests.has(request))) {
				applyHealthEvent(instance, HealthEvent.TimedOut);
			}

			for (const request of timedOut) {
				instance.silentRequests.add(request);
			}

			for (const request of timedOut) {
				request.onSilence();
			}
		}
	};

	return {
		applyRegistry(registry) {
			for (const held of registry.held.values()) {
				const known = instances.get(held.record.id);
				const isSame = known?.held.record.incarnation === held.record.incarnation && known.held.record.address === held.record.address;

				if (isSame) {
					known.held = held;
					applyStandingEvent(known, {kind: InstanceEventKind.Announced, ...describeAnnouncedStanding(held)});
				} else if (held.record.stage !== InstanceStage.Gone) {
					if (known !== undefined) {
						replaceInstance(known, held.record);
					}

					instances.set(held.record.id, createPooledInstance(held, getMaxConnections(held.record.service)));
				}
			}

			for (const [id, instance] of instances) {
				const isExpired = !registry.held.has(id);

				if ((isExpired || instance.held.record.stage === InstanceStage.Gone) && instance.inFlight.size === 0) {
					instance.agent.destroy();
					instances.delete(id);
				}
			}

			groupByService();
		},
		applyLimits() {
			for (const {agent, held} of instances.values()) {
				agent.setMaxConnections(getMaxConnections(held.record.service));
			}
		},
		get: id => instances.get(id),
		listAvailable(service, filter = () => true) {
			const free: PooledInstance[] = [];
			const full: PooledInstance[] = [];

			for (const instance of listInstances(service)) {
				const standing = classify(instance);

				if (canSendTo(standing) && filter(instance)) {
					(standing === InstanceStatus.Full ? full : free).push(instance);
				}
			}

			return free.length > 0 ? free : full;
		},
		hasServing: (service, filter) => listInstances(service).some(instance => filter(instance) && !goneStatuses.has(classify(instance))),
		isEvacuated,
		countOnlyEvacuated(service, filter) {
			const counts: Record<string, number> = {};

			for (const instance of listInstances(service).filter(instance => filter(instance))) {
				const status = classify(instance);

				if (!goneStatuses.has(status)) {
					return undefined;
				}

				if (status === InstanceStatus.Evacuated) {
					const {availabilityZone} = instance.held.record;
					counts[availabilityZone] = (counts[availabilityZone] ?? 0) + 1;
				}
			}

			return Object.keys(counts).length === 0 ? undefined : counts;
		},
		getCallsSinceRevisit,
		listLimited: service => listInstances(service).filter(instance => classify(instance) === InstanceStatus.Limited),
		findSendable({id, incarnation}) {
			const instance = instances.get(id);

			if (instance?.held.record.incarnation !== incarnation) {
				return undefined;
			}

			const status = classifyInstance(instance.standing, {own: countOwn(instance), isEvacuated: isEvacuated(instance), nowMs: clock.readMonotonicMs()});

			return canSendTo(status) ? instance : undefined;
		},
		findRestEndMs(service, filter = () => true) {
			const ends = listInstances(service).filter(instance => filter(instance) && classify(instance) === InstanceStatus.BackingOff).map(({standing}) => standing.backoffDeadlineMs);

			return ends.length === 0 ? undefined : Math.min(...ends);
		},
		countStandings(service) {
			const counts: Record<string, number> = {};

			for (const instance of listInstances(service)) {
				const standing = classify(instance);
				counts[standing] = (counts[standing] ?? 0) + 1;
			}

			return counts;
		},
		begin(instance, request) {
			const nowMs = clock.readMonotonicMs();
			const wasIdle = computeWaitMs(instance.load.work, nowMs) === 0;
			const {service} = instance.held.record;
			inFlightCount++;
			dispatchRates.set(service, recordDispatch(dispatchRates.get(service) ?? createDispatchRate(), nowMs));

			if (endChecks === undefined) {
				nextCheckMs = nowMs + checkIntervalMs;
				endChecks = repeat(checkInFlight, checkIntervalMs);
			}

			adjustWork(instance, request.workMs);
			instance.inFlight.set(request, request.workMs === 0 ? undefined : {...estimateWork(instance.load.work, request.workMs), wasIdle});
			instance.load = {
				...instance.load,
				own: instance.load.own + 1,
				ownHeldTokens: instance.load.ownHeldTokens + request.heldTokens,
				lastCallAtMs: nowMs,
			};
			callsSinceRevisit.set(service, request.isRevisit === true ? 0 : getCallsSinceRevisit(service) + 1);
		},
		recordFirstPiece(instance, request) {
			const nowMs = clock.readMonotonicMs();
			const estimate = instance.inFlight.get(request);
			const {service} = instance.held.record;
			metrics.observeMs('first_piece_ms', {service}, nowMs - request.startedAtMs);
			metrics.observeMs('first_piece_expected_ms', {service}, request.expectedMs);
			const {pauses, isRepresentative} = recordFirstOutput(instance.pauses, request);
			instance.pauses = pauses;

			if (isRepresentative) {
				instance.load = {...instance.load, ...recordRequestTime(instance.load, {tookMs: nowMs - request.startedAtMs, nowMs})};
			}

			if (estimate === undefined) {
				return;
			}

			instance.inFlight.set(request, undefined);
			correctWork(instance, computeCorrectionMs(instance.load.work, estimate, nowMs));

			if (estimate.wasIdle) {
				prefillRates.recordFirstPiece(service, {tokens: request.uncachedTokens, tookMs: nowMs - request.startedAtMs});
			}
		},
		recordRefusal(instance, askedRestMs) {
			applyStandingEvent(instance, {kind: InstanceEventKind.RequestRejected, askedRestMs});

			if (askedRestMs !== undefined) {
				log.info(isValidBackoff(askedRestMs) ? 'instance asks for a rest' : 'instance asks for a rest that cannot be meant', {
					id: instance.held.record.id, askedRestMs,
				});
			}
		},
		recordLeaving(instance, record) {
			const wasLeaving = instance.standing.isLeaving;
			applyStandingEvent(instance, {kind: InstanceEventKind.LeavingReported, incarnation: record.incarnation});

			if (instance.standing.isLeaving && !wasLeaving) {
				log.info('instance says in an answer that it leaves', {id: record.id, incarnation: record.incarnation});
				onLeaving(record);
			}
		},
		recordActivity(instance) {
			instance.silentRequests.clear();

			if (instance.pauses.isPausing) {
				instance.pauses = endPause(instance.pauses, clock.readMonotonicMs());
			}

			if (instance.standing.health.beforeTimeout !== undefined) {
				applyHealthEvent(instance, HealthEvent.Resumed);
			}

			if (clock.readMonotonicMs() - instance.standing.answeredAtMs < activityIntervalMs) {
				return;
			}

			applyStandingEvent(instance, {kind: InstanceEventKind.ResponseReceived});
		},
		measureSilenceMs,
		isSilent,
		end(instance, request) {
			// A request that ends before its response begins is not prefilled to the end, so its remaining work is removed from the backlog.
			const estimate = instance.inFlight.get(request);

			if (estimate !== undefined) {
				adjustWork(instance, -Math.max(0, Math.min(estimate.workMs, estimate.doneAtMs - clock.readMonotonicMs())));
			}

			inFlightCount -= instance.inFlight.delete(request) ? 1 : 0;
			instance.silentRequests.delete(request);

			if (instance.inFlight.size === 0) {
				retired.delete(instance);
			}

			instance.load = {
				...instance.load,
				own: Math.max(0, instance.load.own - 1),
				ownHeldTokens: Math.max(0, instance.load.ownHeldTokens - request.heldTokens),
			};
		},
		listShares: () => [...instances].filter(([, {load}]) => load.own > 0)
			.map(([id, {load}]) => [id, load.own, Math.round(load.ownHeldTokens)]),
		takeUnsentWork() {
			const unsent: WorkDelta[] = [];

			for (const [id, instance] of instances) {
				if (Math.abs(instance.unsentWorkMs) >= 1 || Math.abs(instance.unsentCorrectionMs) >= 1) {
					unsent.push([id, Math.round(instance.unsentWorkMs), Math.round(instance.unsentCorrectionMs)]);
					instance.unsentWorkMs = 0;
					instance.unsentCorrectionMs = 0;
				}
			}

			return unsent;
		},
		addPeerWork(shares) {
			if (isReadingOld()) {
				return;
			}

			heardPeersAtMs = clock.readMonotonicMs();

			for (const [id, workMs, correctionMs] of shares) {
				const instance = instances.get(id);

				if (instance !== undefined) {
					const nowMs = clock.readMonotonicMs();
					instance.lastPeerWorkAtMs = nowMs;
					instance.load = {...instance.load, work: correctBacklog(addWork(instance.load.work, workMs, nowMs), correctionMs, nowMs)};
				}
			}
		},
		recordLoad(instance, {slowdown, ...report}) {
			const nowMs = clock.readMonotonicMs();
			const known = instance.load.pace?.slowdown ?? 1;
			instance.load = {
				...instance.load, report: {...report, atMs: nowMs, ownAtReport: instance.load.own}, ...(slowdown !== undefined && {pace: {slowdown, atMs: nowMs}}),
			};

			if (slowdown !== undefined && Math.max(slowdown, known) >= minSlowPace) {
				instance.unsentPace = Math.min(maxSlowdown, slowdown);
				onWorkChange(0);
			}
		},
		takeUnsentPaces() {
			const unsent: PaceNote[] = [];

			for (const [id, instance] of instances) {
				if (instance.unsentPace !== undefined) {
					unsent.push([id, instance.unsentPace]);
					instance.unsentPace = undefined;
				}
			}

			return unsent;
		},
		recordPeerPaces(paces) {
			const nowMs = clock.readMonotonicMs();

			for (const [id, slowdown] of isReadingOld() ? [] : paces) {
				const instance = instances.get(id);

				if (instance !== undefined && nowMs - (instance.load.pace?.atMs ?? Number.NEGATIVE_INFINITY) >= paceRelayMs) {
					instance.load = {...instance.load, pace: {slowdown, atMs: nowMs}};
				}
			}
		},
		estimateUnseenRequests: (service, otherGateways) => estimateUnseenRequests({
			rate: dispatchRates.get(service) ?? createDispatchRate(), otherGateways, heardAtMs: heardPeersAtMs, nowMs: clock.readMonotonicMs(),
		}),
		measureViewAgeMs: () => clock.readMonotonicMs() - heardPeersAtMs,
		computeSpreads: () => [...byService].map(([service, list]) => [service, computeLoadSpread(list.map(({load}) => load))]),
		getPrefillTokensPerMs: prefillRates.get,
		setPeerLoads(peers) {
			const nowMs = clock.readMonotonicMs();
			heardPeersAtMs = isReadingOld() ? heardPeersAtMs : nowMs;

			for (const [id, instance] of instances) {
				const peerLoad = peers.get(id) ?? noPeerLoad;

				instance.load = {
					...instance.load,
					peers: peerLoad,
					// If no gateway has a request there, no work is left: this removes the errors that accumulate as work is added and removed.
					work: instance.load.own === 0 && peerLoad.requests === 0 && nowMs - instance.lastPeerWorkAtMs >= peerWorkGraceMs ? resetBacklog(instance.load.work) : instance.load.work,
				};
			}
		},
		recordHealthEvent: applyHealthEvent,
		stop() {
			endChecks?.();

			for (const instance of [...instances.values(), ...retired]) {
				instance.agent.destroy();
			}
		},
	};
}

const goneStatuses: ReadonlySet<InstanceStatus> = new Set([InstanceStatus.Leaving, InstanceStatus.Evacuated, InstanceStatus.Silent]);
