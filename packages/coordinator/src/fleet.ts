import {randomBytes} from 'node:crypto';
import {isBoolean, isObjectWith, type Clock} from '@fescuestair/core';
import {isCrashReportMessage} from '@fescuestair/crashes';
import {
	createGatewayDirectory, createInstanceRegistry, createInstanceUpdate, DaemonRole, describePeers, getHomeListVersion, HelloKind, InstanceStage, isHello, isInstanceUpdates, isLeaving,
	isPublishedSnapshot, isRequestLimitNotes, listDaemons, listGateways, listHomeGatewayAddresses, createHomeList, listUpdates, listRenewals, MergeOutcome, setLoading, setModelVersion,
	mergeDaemonRecord, recordHomeHello, recordHomeList, mergeInstanceRecord, applyRenewals, expireGateways, expireInstances, type DaemonRecord,
	type DaemonTable, type RegisteredInstance, type Hello, type HelloReply, type InstanceUpdate, type InstanceRecord, type PublishedSnapshot,
} from '@fescuestair/instances';
import {type ColdBound, type ColdTerms} from '@fescuestair/limits';
import {
	callAndValidate, isName, LinkMessageKind, type LinkCommands, type LinkMessage, type LinkReply,
} from '@fescuestair/protocol';
import {
	createColdInstances, createHelloClient, createRequestLimits, type Logger, type PrometheusMetrics, type RequestLimits,
} from '@fescuestair/runtime';
import {type Links} from '@fescuestair/transport';
import {createCrashEvidenceHost} from './crash-evidence-host.js';
import {createDeparturePersister} from './departure-persister.js';
import {type DepartureStore} from './departure-store.js';
import {createLoadRelayHost} from './load-relay-host.js';

export type FleetOptions = {
	readonly self: DaemonRecord;
	readonly clock: Clock;
	readonly links: Links;
	readonly log: Logger;
	readonly metrics: PrometheusMetrics;
	readonly commands: LinkCommands;
	/** What the configuration in force says about cold instances of a service. */
	readonly getColdTerms?: (service: string) => ColdTerms | undefined;
	/** When an availability zone got requests again after its evacuation. */
	readonly getColdSinceMs?: (availabilityZone: string) => number | undefined;
	readonly coldBound?: ColdBound | undefined;
	/** Link addresses of coordinators known from other sources: seeds and members of the group. */
	readonly listCoordinatorAddresses: () => readonly string[];
	/** Link addresses of the members of the group whose votes count; empty where there is no group yet. */
	readonly listVoterAddresses: () => readonly string[];
	readonly departures: Pick<DepartureStore, 'save' | 'retain'>;
	/** Instances that were leaving, or had left, when the process before ended. */
	readonly knownDepartures: readonly InstanceUpdate[];
	/** The published state for a daemon that has a given revision and version of the configuration; `undefined` if it is up to date. */
	readonly describePublishedSince: (revision: number, configVersion: number) => PublishedSnapshot | undefined;
	readonly getConfigVersion: () => number;
	readonly isCurrent: () => boolean;
	/** Time since this replica knew all that was committed; `undefined` where it has not since its start. */
	readonly getStateAgeMs: () => number | undefined;
	/** Lists the target versions of weights with their ages; `undefined` where this replica is not current, or no target is young. */
	readonly listTargetAges: () => PublishedSnapshot['weights'] | undefined;
	/** Link address of the leader, which may be this replica. */
	readonly getLeaderAddress: () => string | undefined;
	/** Whether this replica leads the group and its lease lasts. */
	readonly isLeader: () => boolean;
	/** Link address of the leader; `undefined` while none is known or this replica leads. */
	readonly findLeaderAddress: () => string | undefined;
	/** Called when a coordinator that is current reports the leader's address. */
	readonly onLeaderReported: (address: string | undefined) => void;
	/** Called in each round with the addresses of the other coordinators. */
	readonly onRound: (addresses: readonly string[]) => void;
};

/** The registry of instances and directory of gateways of a coordinator, which passes changes on to the other daemons. */
export type Fleet = {
	/** The limits of instances: those that they name in their answers, as gateways report them, and those of cold ones. */
	readonly requestLimits: RequestLimits;
	/**
	Records an announcement of an instance and forwards it to all daemons if it changes the registry. Resolves once it may be acknowledged: that an instance leaves has to be on the disks of
	a majority of the group. Throws a `DepartureNotSavedError` where that is not reached.
	*/
	readonly announce: (record: InstanceRecord) => Promise<void>;
	readonly findInstance: (id: string) => InstanceRecord | undefined;
	readonly listInstances: () => Iterable<RegisteredInstance>;
	readonly setLoading: (instanceId: string, deadlineMs: number) => void;
	readonly setModelVersion: (instanceId: string, model: {readonly name: string; readonly version: number}) => void;
	readonly listGateways: () => readonly DaemonRecord[];
	/** Whether this coordinator is the primary home of any gateway; those poll it for stored parts. */
	readonly hasPrimaryGateways: () => boolean;
	/** Sends newly published state to all daemons. */
	readonly sendPublished: (published: PublishedSnapshot) => void;
	readonly stop: () => void;
};

const bootIdBytes = 6;
/** Interval of the hello messages to the other coordinators. */
const helloIntervalMs = 500;
/** A gateway that sent no hello for longer than this, four of its hello intervals, is not listed for callers. */
const gatewayAgeMs = 2000;
const coordinatorAgeMs = 10_000;
const callTimeoutMs = 1500;
/** After a start, no gateways are listed until all have had time to send a hello; until then, callers would all go to the few known ones. */
const directoryWarmupMs = 1200;
/** Number of coordinators polled per round for renewals, in rotation. A heartbeat of an instance reaches only the coordinator that it is sent to. */
const fleetSourcesPerRound = 4;

/**
Creates the registry and directory of a coordinator, and starts the rounds of hello messages to the other coordinators.

@example
```
const fleet = createFleet({self, clock, links, log, metrics, commands, ...rest});
await fleet.announce(record);
```
*/
export function createFleet(options: FleetOptions): Fleet {
	const {
		self, clock, links, log, metrics, commands, listCoordinatorAddresses, listVoterAddresses, departures, knownDepartures, describePublishedSince, getConfigVersion, isCurrent, getStateAgeMs,
		listTargetAges, getLeaderAddress, isLeader, findLeaderAddress, onLeaderReported, onRound, getColdTerms = () => undefined, getColdSinceMs, coldBound,
	} = options;
	const bootId = randomBytes(bootIdBytes).toString('hex');
	const directoryReadyAtMs = clock.readMonotonicMs() + directoryWarmupMs;
	/** Version of this coordinator's home list that each other coordinator holds, by link address. */
	const acknowledgedHomes = new Map<string, HelloReply['heldHomes']>();
	let registry = createInstanceRegistry();
	let daemons: DaemonTable = new Map();
	let directory = createGatewayDirectory();
	let sourceOffset = 0;

	const cold = createColdInstances({
		clock, log, bound: coldBound, getTerms: getColdTerms, getColdSinceMs, listInstances: () => registry.held.values(), findInstance: id => registry.held.get(id),
	});
	const requestLimits = createRequestLimits({clock, log, cold});

	const getTimes = () => ({nowMs: clock.readMonotonicMs(), gatewayAgeMs, coordinatorAgeMs});

	const listCoordinators = () => listDaemons(daemons, {role: DaemonRole.Coordinator, nowMs: clock.readMonotonicMs(), maxAgeMs: coordinatorAgeMs});

	const sendToCoordinators = (message: LinkMessage) => {
		for (const {linkAddress} of listCoordinators()) {
			links.send(linkAddress, message);
		}
	};

	const sendToHomeGateways = (message: LinkMessage, exceptAddress?: string) => {
		for (const address of listHomeGatewayAddresses(directory)) {
			if (address !== exceptAddress) {
				links.send(address, message);
			}
		}
	};

	// Gateways do not use a coordinator that is cut off from the others as a home, but may still be reachable: it sends to all of them directly.
	const sendToAllGateways = (message: LinkMessage) => {
		for (const {linkAddress} of listGateways(directory, getTimes())) {
			links.send(linkAddress, message);
		}
	};

	// Relays what one gateway found out to all others: to those whose home this is, and to the other coordinators if it comes from the gateway itself.
	const relay = (message: LinkMessage, {from, isRelayed}: {readonly from: string; readonly isRelayed: boolean}) => {
		sendToHomeGateways(message, from);

		if (!isRelayed) {
			sendToCoordinators(message);
		}
	};

	const sendToGateways = (message: LinkMessage) => {
		if (isCurrent()) {
			sendToHomeGateways(message);
		} else {
			sendToAllGateways(message);
		}
	};

	const sendInstanceUpdates = (notes: readonly InstanceUpdate[]) => {
		sendToCoordinators({kind: LinkMessageKind.Instances, notes, isRelayed: false});
		sendToGateways({kind: LinkMessageKind.Instances, notes, isRelayed: true});
	};

	const sendInstance = (id: string) => {
		const held = registry.held.get(id);

		if (held !== undefined) {
			sendInstanceUpdates([createInstanceUpdate(held, clock.readMonotonicMs())]);
		}
	};

	// Returns the updates that changed the registry.
	const applyInstanceUpdates = (notes: readonly InstanceUpdate[]) => notes.filter(({record, ageMs, loadingLeftMs}) => {
		const taken = mergeInstanceRecord(registry, record, {nowMs: clock.readMonotonicMs(), ageMs, loadingLeftMs});
		registry = taken.registry;

		return taken.news === MergeOutcome.Changed;
	});

	const answerReport = async (notes: readonly InstanceUpdate[], reply: ((reply: LinkReply) => void) | undefined) => {
		try {
			// The departure of an earlier start says nothing about the one that is known.
			const reported = notes.map(({record}) => record).filter(record => isLeaving(record) && registry.held.get(record.id)?.record.incarnation === record.incarnation);
			await Promise.all(reported.map(async record => departures.save(record)));
			reply?.({kind: 'noted'});
		} catch (error) {
			reply?.({kind: 'error', message: String(error)});
		}
	};

	const crashEvidence = createCrashEvidenceHost({
		linkAddress: self.linkAddress, clock, links, log, metrics, commands, isLeader, findLeaderAddress, sendToCoordinators,
		// A coordinator that is cut off from the others lacks answers that they know of.
		sendToGateways(message) {
			if (isCurrent()) {
				sendToHomeGateways(message);
			}
		},
	});

	const recordHello = ({card, greeting, homes}: Hello) => {
		const nowMs = clock.readMonotonicMs();

		if (greeting === HelloKind.Peer) {
			daemons = mergeDaemonRecord(daemons, card, nowMs);
			directory = recordHomeList(directory, {from: card.linkAddress, list: homes, nowMs});
		} else if (greeting !== HelloKind.Visitor) {
			const {revision} = directory;
			directory = recordHomeHello(directory, {card, isPrimary: greeting === HelloKind.PrimaryHome, nowMs});

			// The other coordinators learn at once that a gateway is leaving, so that none sends callers to it.
			if (directory.revision !== revision && !card.isReady) {
				sendHellos();
			}
		}
	};

	const answerHello = (hello: Hello): HelloReply => {
		recordHello(hello);
		const nowMs = clock.readMonotonicMs();
		const {newsAfter} = hello;
		const isGatewayLeaving = hello.greeting !== HelloKind.Peer && hello.card.leaving !== undefined;

		return {
			news: newsAfter && {
				cursor: {bootId, revision: registry.revision},
				notes: listUpdates(registry, {afterRevision: newsAfter.bootId === bootId ? newsAfter.revision : 0, nowMs}),
			},
			fleet: hello.wantsFleet
				? {
					renewals: listRenewals(registry, nowMs), coordinators: [self, ...listCoordinators()], gateways: listGateways(directory, getTimes()).length,
					requestLimits: requestLimits.list(),
				}
				: undefined,
			published: describePublishedSince(hello.publishedRevision, hello.configVersion),
			leaderAddress: getLeaderAddress(),
			isCurrent: isCurrent(),
			stateAgeMs: getStateAgeMs(),
			targetAges: listTargetAges(),
			// Until all gateways had time to send a hello, the few known ones would be taken for all.
			...(isGatewayLeaving && isCurrent() && nowMs >= directoryReadyAtMs && {peers: describePeers(listGateways(directory, getTimes()), hello.card)}),
			heldHomes: hello.greeting === HelloKind.Peer ? getHomeListVersion(directory, hello.card.linkAddress) : undefined,
			...(hello.greeting === HelloKind.Peer
				? {crashReport: crashEvidence.describeEvidence(hello.card.linkAddress, hello.evidenceDigest)}
				: {quarantine: crashEvidence.describeQuarantine()}),
		};
	};

	const helloClient = createHelloClient({
		clock,
		links,
		timeoutMs: callTimeoutMs,
		// Coordinators receive published state by replication, so none is requested here.
		getHello: () => ({
			card: self, publishedRevision: Number.MAX_SAFE_INTEGER, configVersion: getConfigVersion(), evidenceDigest: crashEvidence.getDigest(),
		}),
		onReply(address, reply) {
			acknowledgedHomes.set(address, reply.heldHomes);

			if (reply.isCurrent) {
				onLeaderReported(reply.leaderAddress);
			}

			applyInstanceUpdates(reply.news?.notes ?? []);

			if (reply.fleet !== undefined) {
				registry = applyRenewals(registry, reply.fleet.renewals, clock.readMonotonicMs());
				addCoordinators(reply.fleet.coordinators);
				requestLimits.merge(reply.fleet.requestLimits ?? []);
			}

			if (isCrashReportMessage(reply.crashReport)) {
				crashEvidence.merge(reply.crashReport);
			}
		},
		onFailure(address, error) {
			acknowledgedHomes.delete(address);
			log.debug('coordinator did not answer a hello', {address, reason: String(error)});
		},
	});

	// Adds coordinators that are not known yet, so that they are sent a hello. Known ones are updated only by their own hello.
	const addCoordinators = (cards: readonly DaemonRecord[]) => {
		for (const card of cards) {
			if (card.name !== self.name && !daemons.has(card.name)) {
				daemons = mergeDaemonRecord(daemons, card, clock.readMonotonicMs());
			}
		}
	};

	const listPeerAddresses = () => [...new Set([...listCoordinatorAddresses(), ...listCoordinators().map(card => card.linkAddress)])]
		.filter(address => address !== self.linkAddress);

	const sendHellos = () => {
		const addresses = listPeerAddresses();
		const homes = createHomeList(directory, self.incarnation);

		for (const [position, address] of addresses.entries()) {
			const held = acknowledgedHomes.get(address);
			const isHeld = held?.incarnation === homes.incarnation && held.revision === homes.revision;
			const isSource = (position + sourceOffset) % addresses.length < fleetSourcesPerRound;

			if (!helloClient.isAwaitingReply(address)) {
				helloClient.sendHello(address, {
					greeting: HelloKind.Peer, wantsUpdates: isSource || registry.held.size === 0, wantsFleet: isSource, ...(!isHeld && {homes}),
				});
			}
		}

		return addresses;
	};

	const runRound = () => {
		const {nowMs} = getTimes();
		registry = expireInstances(registry, nowMs);
		departures.retain(id => registry.held.has(id));
		persister.retain(id => registry.held.has(id));
		directory = expireGateways(directory, getTimes());
		const addresses = sendHellos();
		sourceOffset += fleetSourcesPerRound;
		onRound(addresses);
	};

	commands.registerCommand(LinkMessageKind.Hello, isObjectWith({hello: isHello}), ({hello, reply}) => {
		reply?.({kind: 'hello', reply: answerHello(hello)});

		return true;
	});
	commands.registerCommand(LinkMessageKind.Instances, isObjectWith({notes: isInstanceUpdates, isRelayed: isBoolean}), ({notes}) => {
		const news = applyInstanceUpdates(notes);

		if (news.length > 0) {
			sendToHomeGateways({kind: LinkMessageKind.Instances, notes: news, isRelayed: true});
		}

		return true;
	});
	commands.registerCommand(LinkMessageKind.ReportInstances, isObjectWith({notes: isInstanceUpdates}), ({notes, reply}) => {
		const news = applyInstanceUpdates(notes);
		void answerReport(notes, reply);

		if (news.length > 0) {
			log.info('a gateway reports instances', {instances: news.map(({record}) => ({id: record.id, incarnation: record.incarnation, stage: record.stage}))});
			sendInstanceUpdates(news.map(({record}) => createInstanceUpdate(registry.held.get(record.id)!, clock.readMonotonicMs())));
		}

		return true;
	});
	commands.registerCommand(LinkMessageKind.RequestLimits, isObjectWith({from: isName, notes: isRequestLimitNotes, isRelayed: isBoolean}), ({from, notes, isRelayed}) => {
		requestLimits.merge(notes);
		relay({
			kind: LinkMessageKind.RequestLimits, from, notes, isRelayed: true,
		}, {from, isRelayed});

		return true;
	});
	// The leader sends published state to the other coordinators, and each of them to the gateways whose home it is.
	commands.registerCommand(LinkMessageKind.Published, isObjectWith({published: isPublishedSnapshot}), ({published}) => {
		sendToHomeGateways({kind: LinkMessageKind.Published, published});

		return true;
	});

	const loadRelay = createLoadRelayHost({
		linkAddress: self.linkAddress,
		clock,
		links,
		commands,
		listGateways: () => listHomeGatewayAddresses(directory, {isPrimary: true}),
		listRelays: () => [...directory.listsByCoordinator].filter(([, {list}]) => list.cards.length > 0).map(([address]) => address),
	});

	metrics.registerGauge('instances_known', 'Instances that announced themselves', () => registry.held.size);
	metrics.registerGauge('gateways_known', 'Gateways that were heard lately', () => listGateways(directory, getTimes()).length);
	metrics.registerGauge('instances_cold', 'Instances that are cold and get no more requests than their service says', cold.countCold);
	metrics.registerGauge('gateways_at_home', 'Gateways that have this coordinator as a home', () => directory.homes.size);

	const persister = createDeparturePersister({
		ownAddress: self.linkAddress, clock, links, log, metrics, store: departures, listPeerAddresses, listVoterAddresses,
	});
	const timer = setInterval(runRound, helloIntervalMs);
	applyInstanceUpdates(knownDepartures);
	runRound();

	return {
		requestLimits,
		async announce(record) {
			const taken = mergeInstanceRecord(registry, record, {nowMs: clock.readMonotonicMs()});
			registry = taken.registry;

			metrics.count('announcements_total', {news: taken.news});

			if (taken.news === MergeOutcome.Changed) {
				log.info('instance changed', {
					id: record.id, service: record.service, address: record.address, stage: record.stage, incarnation: record.incarnation,
					sequence: record.sequence, models: record.models,
				});
				sendInstance(record.id);
			} else if (taken.news === MergeOutcome.Stale) {
				log.info('announcement is stale', {id: record.id, incarnation: record.incarnation, sequence: record.sequence});
			}

			const held = registry.held.get(record.id);

			if (isLeaving(record) && held?.record.incarnation === record.incarnation) {
				await persister.persist(createInstanceUpdate(held, clock.readMonotonicMs()));
			}
		},
		findInstance: id => registry.held.get(id)?.record,
		listInstances: () => registry.held.values(),
		setLoading(instanceId, deadlineMs) {
			registry = setLoading(registry, instanceId, deadlineMs);
			sendInstance(instanceId);
		},
		setModelVersion(instanceId, model) {
			registry = setModelVersion(registry, instanceId, model);
			sendInstance(instanceId);
		},
		listGateways: () => clock.readMonotonicMs() < directoryReadyAtMs ? [] : listGateways(directory, getTimes()),
		hasPrimaryGateways: () => listHomeGatewayAddresses(directory, {isPrimary: true}).length > 0,
		sendPublished(published) {
			const message: LinkMessage = {kind: LinkMessageKind.Published, published};
			sendToCoordinators(message);
			sendToHomeGateways(message);
		},
		stop() {
			clearInterval(timer);
			loadRelay.stop();
			crashEvidence.stop();
		},
	};
}
