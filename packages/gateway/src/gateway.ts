import process from 'node:process';
import {
	createSystemClock, isBoolean, isObjectWith, type Clock,
} from '@fescuestair/core';
import {isQuarantineMessage} from '@fescuestair/crashes';
import {
	createEvacuationView, diffEvacuations, getEvacuationEndedAtMs, recordEvacuatedZones,
} from '@fescuestair/evacuations';
import {
	DaemonRole, isInstanceUpdates, isLoadUpdate, isPublishedSnapshot, isRequestLimitNotes, type DaemonRecord, type PublishedSnapshot,
} from '@fescuestair/instances';
import {
	createRetryBudget, depositSuccess, type ColdBound, type RetryBudget,
} from '@fescuestair/limits';
import {
	createLinkCommands, isName, LinkMessageKind, type LinkMessage,
} from '@fescuestair/protocol';
import {createChooser, PlacementPolicy} from '@fescuestair/routing';
import {
	createColdInstances, createLinkFaultHandler, createPermitClient, createRequestLimits, openCommandListener, registerLinkMetrics, type Logger, type PrometheusMetrics,
} from '@fescuestair/runtime';
import {
	buildRouteTable, type RegionsByZone, type RouteTable, type TrafficConfig,
} from '@fescuestair/traffic';
import {
	createLinks, createMemoryBudget, createRequestBodies, openHttpListener, parseAddress, pickSlowestOrLargest, processCallerBudget, processReadPacer, type CallerBudget,
} from '@fescuestair/transport';
import {type CallerCodec, type UpstreamCodec} from './codecs.js';
import {type FetchIncarnation} from './check-run-origin.js';
import {createCallerServer} from './caller-server.js';
import {createRequestHandler} from './request-handler.js';
import {describeConfirmation} from './config-confirmation.js';
import {createCoordinatorClient, type StateSource} from './coordinator-client.js';
import {createCrashDetector} from './crash-detector.js';
import {type ForwardOptions} from './forward-options.js';
import {decideConfigRefusal} from './decide-config-refusal.js';
import {createInstancePool} from './instance-pool.js';
import {
	createTargetVersionHistory, classifyWeights, findNewerTarget, findStartDeadlineMs, recordTargetVersions,
} from './target-version-history.js';
import {createLoadExchange} from './load-exchange.js';
import {createPartsClient} from './parts-client.js';
import {createPlannedStop} from './planned-stop.js';
import {createStartDeadlines} from './start-deadlines.js';
import {createStreamOrigins} from './stream-origins.js';
import {createUnprovenOrigins} from './unproven-origins.js';

export type GatewayOptions = {
	readonly name: string;
	readonly availabilityZone: string;
	/** The region of each availability zone; where it is empty, requests with allowed regions can be served nowhere. */
	readonly regionsByZone?: RegionsByZone;
	readonly linkAddress: string;
	/** Where callers connect. */
	readonly listen: string;
	/** Link addresses of some coordinators. */
	readonly getSeeds: () => readonly string[];
	/** Decodes a configuration that the coordinators accepted. */
	readonly decodeConfig: (text: string) => TrafficConfig;
	readonly callerCodec: CallerCodec;
	readonly upstreamCodec: UpstreamCodec;
	/** Asks an instance for its incarnation; called where a stream is continued on a connection that is younger than its announcements can be late. */
	readonly fetchIncarnation: FetchIncarnation;
	readonly retryAllowance: RetryAllowance;
	/** Policy by which instances are chosen; policies other than the default exist for comparison in benchmarks. */
	readonly placement?: PlacementPolicy;
	/** Time after a change of the target version in which requests may still begin on older weights. */
	readonly oldWeightsMs: number;
	/** Time within which an accepted configuration has to be in force; for longer, nothing is refused for good by one that may have been replaced. */
	readonly configApplyMs?: number;
	/** By how much a cold instance may be sent more than it accepts; absent if nobody sets a bound. */
	readonly coldBound?: ColdBound | undefined;
	/** Time after which a stop ends, even if requests are still running. */
	readonly stopTimeoutMs: number;
	/** What callers may make this process hold. */
	readonly callerBudget?: CallerBudget;
	/** Upper bound for the answers that are buffered until they are complete and their callers have taken them, together. */
	readonly maxBufferedAnswerBytes?: number;
	readonly clock?: Clock;
	readonly log: Logger;
	readonly metrics: PrometheusMetrics;
};

/** Retries that all gateways together may make for one service. */
export type RetryAllowance = {
	/** Retries allowed for each request of a caller. */
	readonly perRequest: number;
	/** Retries allowed in addition, within the period over which the retry rate is assessed. */
	readonly slack: number;
};

export type Gateway = {
	readonly isReady: () => boolean;
	/** Reports that it is leaving, serves new requests for as long as others need it, finishes the running ones and closes. */
	readonly stop: () => Promise<void>;
};

/** A start that took longer waited for a configuration, as the first one of a system does. */
const maxStartMs = 3000;
/** Share of the system's retry budget that is used: the remainder covers requests that are counted late. */
const usableBudgetShare = 0.75;
/** Share of an instance's connections that all gateways use together. */
const usableConnectionShare = 0.8;
const minConnections = 4;
/** Less than what operators are promised: a gateway knows what is the newest configuration as of some 0.4 to 1.2 s before. */
const defaultConfigApplyMs = 2000;
const defaultMaxBufferedAnswerBytes = 64_000_000;

/**
Creates a gateway, which serves callers by the newest configuration and forwards their requests to instances.

@example
```
const gateway = await createGateway({name: 'front-1', listen: '10.1.0.40:8005', ...rest});
await gateway.stop();
```
*/
export async function createGateway(options: GatewayOptions): Promise<Gateway> {
	const {
		name, availabilityZone, linkAddress, listen, getSeeds, decodeConfig, callerCodec, upstreamCodec, fetchIncarnation, retryAllowance, stopTimeoutMs, oldWeightsMs, coldBound,
		configApplyMs = defaultConfigApplyMs,
		regionsByZone = new Map(),
		placement = PlacementPolicy.LeastCost, callerBudget = processCallerBudget, maxBufferedAnswerBytes = defaultMaxBufferedAnswerBytes,
		clock = createSystemClock(), log, metrics,
	} = options;
	const links = createLinks({getKeys: undefined});
	const incarnation = clock.readWallMs();
	const startedAtMs = clock.readMonotonicMs();
	let routeTable: RouteTable | undefined;
	let targetVersionHistory = createTargetVersionHistory();
	let evacuations = createEvacuationView();
	let isLeaving = false;
	let wasReady = false;
	let recordSequence = 0;
	let startTookMs = 0;
	const budgets = new Map<string, RetryBudget>();

	const countGateways = () => client.countGateways();

	const instancePool = createInstancePool({
		clock,
		log,
		metrics,
		getMaxConnections(service) {
			const maxConnections = routeTable?.services.get(service)?.maxConnections ?? minConnections;

			return Math.max(minConnections, Math.floor(maxConnections * usableConnectionShare / countGateways()));
		},
		getLimitedUntilMs: record => permits.getClosedUntilMs(record),
		isZoneEvacuated: zone => evacuations.zones.has(zone),
		onWorkChange(workMs) {
			loadExchange.recordWorkChange(workMs);
		},
		onLeaving(record) {
			client.reportLeaving(record);
		},
	});

	const startDeadlines = createStartDeadlines({
		clock, findDeadlineMs: weights => findStartDeadlineMs(targetVersionHistory, {...weights, oldWeightsMs}),
	});

	// The coordinators check a configuration by the rules of their own version.
	const tryBuildRouteTable = ({configText, configVersion}: PublishedSnapshot): RouteTable | undefined => {
		try {
			return buildRouteTable(decodeConfig(configText!));
		} catch (error) {
			log.error('configuration cannot be used', {version: configVersion, inForce: routeTable?.config.version, reason: String(error)});

			return undefined;
		}
	};

	const recordTargets = (weights: PublishedSnapshot['weights'], {toldBy, isCurrent}: StateSource) => {
		const before = targetVersionHistory;
		targetVersionHistory = recordTargetVersions(before, weights, {nowMs: clock.readMonotonicMs(), toldBy, isCurrent});

		for (const [model, version, ageMs] of weights) {
			if (targetVersionHistory.get(model) !== before.get(model)) {
				log.info('target version of weights learnt', {
					model, version, ageMs, toldBy: toldBy ?? 'push', isCurrent,
				});
			}
		}

		startDeadlines.applyTargets();
	};

	const recordEvacuations = ({revision, evacuatedZones = [...evacuations.zones]}: PublishedSnapshot, {toldBy}: StateSource) => {
		const {begun, ended} = diffEvacuations(evacuations, evacuatedZones);
		evacuations = recordEvacuatedZones(evacuations, evacuatedZones, clock.readMonotonicMs());

		if (begun.length > 0 || ended.length > 0) {
			log.info('evacuations in force', {
				zones: evacuatedZones, begun, ended, revision, toldBy: toldBy ?? 'push',
			});
		}
	};

	const onPublished = (published: PublishedSnapshot, source: StateSource) => {
		const before = routeTable?.config.version;
		recordTargets(published.weights, source);
		recordEvacuations(published, source);

		if (published.configText !== undefined) {
			const nextTable = tryBuildRouteTable(published);

			if (nextTable === undefined) {
				return;
			}

			routeTable = nextTable;
			callerServer.applyLimits(routeTable.config.limits);
			instancePool.applyLimits();
		}

		log.info('configuration in force', {
			version: published.configVersion, before, revision: published.revision, weights: published.weights,
			toldBy: source.toldBy ?? 'push', isCurrent: source.isCurrent, heldMs: published.heldMs, transitMs: Math.round(source.transitMs),
		});

		// The first configuration after a start was accepted before it.
		if (before !== undefined && before !== published.configVersion && published.heldMs !== undefined) {
			metrics.observeMs('config_in_force_ms', {}, published.heldMs + source.transitMs);
		}
	};

	const planned = createPlannedStop({
		clock, log, metrics, countGateways, countRunning: () => activeResponses.size, getStartMs: () => startTookMs,
		onChange() {
			client.sendHelloToAll();
		},
	});

	const isReady = () => !isLeaving && routeTable !== undefined && client.isCurrent();

	const loadExchange = createLoadExchange({
		linkAddress, links, clock, instancePool, getHome: () => client.getHome(),
	});

	const partsClient = createPartsClient({
		getHome: () => client.getHome(), links, clock, log,
	});

	const getDaemonRecord = (): DaemonRecord => {
		const isReadyNow = isReady();

		if (isReadyNow !== wasReady) {
			wasReady = isReadyNow;
			recordSequence++;
			startTookMs ||= Math.min(maxStartMs, process.uptime() * 1000);
		}

		return {
			name, role: DaemonRole.Gateway, incarnation, linkAddress, serviceAddress: listen, availabilityZone, isReady: isReadyNow, sequence: recordSequence + planned.countChanges(),
			leaving: planned.describeLeaving(),
		};
	};

	const crashDetector = createCrashDetector({
		linkAddress, links, clock, log, metrics, getHome: () => client.getHome(),
	});

	const cold = createColdInstances({
		clock, log, bound: coldBound, getTerms: service => routeTable?.services.get(service)?.cold, listInstances: () => client.listInstances(), findInstance: id => client.findInstance(id),
		getColdSinceMs: zone => getEvacuationEndedAtMs(evacuations, zone, clock.readMonotonicMs()),
	});

	const requestLimits = createRequestLimits({
		clock,
		log,
		cold,
		onChange(note, {isOwn}) {
			permits.reopen(note.id);
			const home = client.getHome();

			if (isOwn && home !== undefined) {
				links.send(home, {
					kind: LinkMessageKind.RequestLimits, from: linkAddress, notes: [note], isRelayed: false,
				} satisfies LinkMessage);
			}
		},
	});

	const permits = createPermitClient({
		clock, links, log, requestLimits, getGrantorAddress: () => client.getHome(), count: metrics.count, sharing: {daemon: name, countDaemons: countGateways},
	});

	const origins = createStreamOrigins({
		clock, links, log, metrics, listRecordKeepers: () => client.listRecordKeepers(), listCoordinators: () => client.listCoordinators(),
	});

	const unprovenOrigins = createUnprovenOrigins({
		clock, instancePool, onDoubt({streamId, deadlineMs, record}, origin) {
			log.info('what began a stream is not known any more: its instance is back with other software', {streamId, instance: record.id});
			origins.record(streamId, origin, deadlineMs);
		},
	});

	const forwardOptions: ForwardOptions = {
		clock,
		availabilityZone,
		regionsByZone,
		callerCodec,
		upstreamCodec,
		instancePool,
		chooseInstance: createChooser(placement),
		parts: partsClient,
		crashes: crashDetector,
		origins,
		unprovenOrigins,
		fetchIncarnation,
		requestLimits,
		permits,
		returns: new Map(),
		log,
		metrics,
		getTable: () => routeTable!,
		classifyWeights: (model, version, startDelayMs) => classifyWeights(targetVersionHistory, {
			model, version, nowMs: clock.readMonotonicMs(), oldWeightsMs, startDelayMs,
		}),
		startDeadlines,
		listTargetModels: () => targetVersionHistory.keys(),
		findNewerTarget: (model, version) => findNewerTarget(targetVersionHistory, {model, version, nowMs: clock.readMonotonicMs()}),
		oldWeightsMs,
		retryBudgets: budgets,
		createRetryBudget: () => createRetryBudget({
			capacity: Math.max(1, retryAllowance.slack * usableBudgetShare / countGateways()), sharePerSuccess: retryAllowance.perRequest * usableBudgetShare,
		}),
		isLeaving: () => isLeaving,
		waiting: new Map(),
		countGateways,
		answerMemory: createMemoryBudget({maxBytes: maxBufferedAnswerBytes, pickVictim: pickSlowestOrLargest}),
	};

	const depositRequest = (service: string) => {
		budgets.set(service, depositSuccess(budgets.get(service) ?? forwardOptions.createRetryBudget(service)));
	};

	const bodies = createRequestBodies({budget: callerBudget});
	const answerCaller = createRequestHandler({
		bodies,
		forwardOptions, callerCodec, clock, log, metrics, depositRetryTokens: depositRequest, getTable: () => routeTable,
		decideRefusal: () => decideConfigRefusal({
			nowMs: clock.readMonotonicMs(), knownAtMs: client.getConfirmation()?.knownAtMs, startedAtMs, configApplyMs,
		}),
		describeConfirmation: () => describeConfirmation(client.getConfirmation(), clock.readMonotonicMs()),
		findStopRefusal: planned.findRefusal, recordLength: planned.recordLength,
	});

	const callerServer = createCallerServer({
		async handleRequest(request, response) {
			planned.recordRequest();

			return answerCaller(request, response);
		},
		computeReturnMs: planned.computeReturnMs,
		log,
	});
	const {server, activeResponses} = callerServer;

	metrics.registerGauge('config_version', 'Version of the configuration in force', () => routeTable?.config.version ?? 0);
	metrics.registerGauge('config_confirmed_age_ms', 'Time since it was known that no later configuration had been accepted; -1 where it has not been since the start', () => {
		const confirmation = client.getConfirmation();

		return confirmation === undefined ? -1 : clock.readMonotonicMs() - confirmation.knownAtMs;
	});
	metrics.registerGauge('requests_running', 'Requests that have no final answer yet', () => activeResponses.size);
	metrics.registerGauge('requests_waiting', 'Requests that wait here for a free instance', () => forwardOptions.waiting.size);
	metrics.registerGauge('runs_to_begin', 'Runs at engines that have been sent and have not begun', startDeadlines.countWaiting);
	metrics.registerGauge('answers_buffered_bytes', 'Memory of the answers that are buffered until they are complete, or until an event is', forwardOptions.answerMemory.countBytes);
	metrics.registerGauge('bodies_buffered_bytes', 'Bytes of the bodies of requests in progress', bodies.countBytes);
	metrics.registerGauge('connections_paced', 'Connections that wait for their share of the event loop, since they send very small pieces', processReadPacer.countHeld);
	metrics.registerGauge('instances_limited', 'Instances that name a limit of requests', requestLimits.countLimited);
	metrics.registerGauge('instances_cold', 'Instances that are cold and get no more requests than their service says', cold.countCold);
	metrics.registerGauge('traits_held_back', 'Prompt parts and requests that are held back because instances crashed under them', crashDetector.countHeldBack);
	metrics.registerGauge('stream_origins_unproven', 'Streams that may have been begun by other software than their instances had announced', unprovenOrigins.count);
	metrics.registerGauge('zones_evacuated', 'Availability zones to whose instances this gateway sends nothing', () => evacuations.zones.size);
	metrics.registerGauge('placement_view_age_ms', 'Time for which nothing was heard of the requests that other gateways send', instancePool.measureViewAgeMs);
	metrics.registerLabelledGauge('placement_spread', 'Requests in flight at the busiest instance of a service, as a multiple of the mean', {label: 'service', read: instancePool.computeSpreads});
	metrics.registerGauge('gateways_known', 'Gateways that coordinators heard lately', countGateways);
	metrics.registerGauge('parts_known', 'Stored parts that requests may fetch', () => partsClient.getView().locations.size);

	const client = createCoordinatorClient({
		getDaemonRecord, getSeeds, links, clock, log, onPublished, getVersionInForce: () => routeTable?.config.version ?? 0, onTargetAges: recordTargets, onPeers: planned.recordPeers,
		onRequestLimits: requestLimits.merge,
		onQuarantine(address, quarantine) {
			// A coordinator of an older version names none.
			if (isQuarantineMessage(quarantine)) {
				crashDetector.applyQuarantine(address, quarantine);
			}
		},
		onRegistryUpdate(registry) {
			instancePool.applyRegistry(registry);
			unprovenOrigins.check();
			crashDetector.applyRegistry(registry);
			instancePool.applyLimits();
			cold.countCold();
		},
		onRecordKeeperChange(address) {
			origins.repeatRecords(address);
		},
		onRound(nowMs) {
			loadExchange.expirePeerLoads(nowMs);
		},
		onHomeChange(home, previousHome) {
			if (previousHome !== undefined) {
				loadExchange.clearLoadsAt(previousHome);
			}

			partsClient.pollHome(home);

			if (home !== undefined) {
				crashDetector.repeatReports(home);
			}
		},
	});
	const commands = createLinkCommands({
		onFault: createLinkFaultHandler({log, clock, count: metrics.count}),
	});
	commands.registerCommand(LinkMessageKind.Loads, isObjectWith({from: isName, loads: isLoadUpdate, isRelayed: isBoolean}), ({from, loads}) => {
		loadExchange.applyPeerLoads(from, loads);

		return true;
	});
	commands.registerCommand(LinkMessageKind.Quarantine, isObjectWith({from: isName, quarantine: isQuarantineMessage}), ({from, quarantine}) => {
		crashDetector.applyQuarantine(from, quarantine);

		return true;
	});
	commands.registerCommand(LinkMessageKind.RequestLimits, isObjectWith({from: isName, notes: isRequestLimitNotes, isRelayed: isBoolean}), ({notes}) => {
		requestLimits.merge(notes);

		return true;
	});
	commands.registerCommand(LinkMessageKind.Published, isObjectWith({published: isPublishedSnapshot}), ({published}) => {
		client.applyPublished(published);

		return true;
	});
	commands.registerCommand(LinkMessageKind.Instances, isObjectWith({notes: isInstanceUpdates, isRelayed: isBoolean}), ({notes}) => {
		client.applyInstanceUpdates(notes);

		return true;
	});
	registerLinkMetrics(metrics, {links, commands});
	const linkServer = await openCommandListener({
		listen: linkAddress, getKeys: undefined, commands, log,
	});
	await openHttpListener(server, parseAddress(listen));
	log.info('gateway started', {...getDaemonRecord()});

	return {
		isReady,
		async stop() {
			isLeaving = true;
			await planned.run(clock.readMonotonicMs() + stopTimeoutMs);

			client.stop();
			origins.stop();
			partsClient.stop();
			loadExchange.stop();
			permits.stop();
			startDeadlines.stop();

			await callerServer.close();
			instancePool.stop();
			await linkServer.close();
			links.close();
			log.info('gateway stopped', {running: activeResponses.size});
		},
	};
}
