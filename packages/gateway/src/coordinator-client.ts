import {type Clock} from '@fescuestair/core';
import {
	createInstanceRegistry, createInstanceUpdate, HelloKind, InstanceStage, setDraining, pickHomes, pickRecordKeepers, mergeInstanceRecord,
	applyRenewals, expireInstances, type DaemonRecord, type FleetSummary, type GatewayPeers, type HelloReply,
	type InstanceUpdate, type InstanceRecord, type InstanceRegistry, type PublishedSnapshot, type RegisteredInstance, type RequestLimitNote,
} from '@fescuestair/instances';
import {callAndValidate, LinkMessageKind} from '@fescuestair/protocol';
import {createHelloClient, type Logger} from '@fescuestair/runtime';
import {type Links} from '@fescuestair/transport';
import {adjustTargetAges} from './adjust-target-ages.js';
import {recordConfirmation, type ConfigConfirmation} from './config-confirmation.js';

/** Where a gateway heard the published state, or target versions of weights. */
export type StateSource = {
	/** Link address of the coordinator; `undefined` where it was a push of the leader. */
	readonly toldBy: string | undefined;
	/** Whether the coordinator had contact with a leader recently. */
	readonly isCurrent: boolean;
	/** For how long the hello or push may have been under way; 0 where that is not known. */
	readonly transitMs: number;
};

export type CoordinatorClientOptions = {
	readonly getDaemonRecord: () => DaemonRecord;
	readonly getSeeds: () => readonly string[];
	readonly links: Links;
	readonly clock: Clock;
	readonly log: Logger;
	/** Called with each published snapshot whose revision is higher than that of the one before. */
	readonly onPublished: (published: PublishedSnapshot, source: StateSource) => void;
	/** Version of the configuration that requests are checked against; 0 before there is one. */
	readonly getVersionInForce: () => number;
	/** Called with the target versions of weights and their ages, as coordinators tell them while a target is young. */
	readonly onTargetAges: (weights: PublishedSnapshot['weights'], source: StateSource) => void;
	/** Called with what a coordinator tells of the other gateways, once this one stops. */
	readonly onPeers: (peers: GatewayPeers) => void;
	readonly onRegistryUpdate: (registry: InstanceRegistry) => void;
	/** Called with the request limits that a coordinator knows, which repairs notes that were missed. */
	readonly onRequestLimits: (notes: readonly RequestLimitNote[]) => void;
	/** Called with what a home says is to be held back; before there is a home, with what any coordinator says. */
	readonly onQuarantine: (address: string, quarantine: unknown) => void;
	/** Called in each round of hellos, so that the gateway can run its periodic checks. */
	readonly onRound: (nowMs: number) => void;
	/** Called when another coordinator becomes the primary home. */
	readonly onHomeChange: (home: string | undefined, previousHome: string | undefined) => void;
	/** Called when a coordinator that keeps the records of this gateway is another one than before, or has started anew. */
	readonly onRecordKeeperChange: (address: string) => void;
};

/** Client of the coordinators. Two of them are the homes of this gateway and send it changes; the others are polled in turn. */
export type CoordinatorClient = {
	readonly applyPublished: (published: PublishedSnapshot) => void;
	readonly applyInstanceUpdates: (notes: readonly InstanceUpdate[]) => void;
	/** Marks an instance as leaving because a response of it reported so, and reports this to the home until the home confirms. */
	readonly reportLeaving: (record: InstanceRecord) => void;
	/**
	Whether a current coordinator has confirmed the configuration, or any configuration is known and `staleServingDelayMs` have passed since the
	start.
	*/
	readonly isCurrent: () => boolean;
	/** The last confirmation of the configuration in force; `undefined` where there is none since the start, or a newer one was heard that cannot be used. */
	readonly getConfirmation: () => ConfigConfirmation | undefined;
	readonly countGateways: () => number;
	readonly findInstance: (id: string) => RegisteredInstance | undefined;
	readonly listInstances: () => Iterable<RegisteredInstance>;
	/** Link address of the primary home. */
	readonly getHome: () => string | undefined;
	/** Link addresses of the coordinators that keep the records of this gateway, in different availability zones if possible. */
	readonly listRecordKeepers: () => readonly string[];
	/** Link addresses of all coordinators that are known. */
	readonly listCoordinators: () => readonly string[];
	/** Sends this gateway's daemon record to all coordinators at once, as when it leaves. */
	readonly sendHelloToAll: () => void;
	readonly stop: () => void;
};

/** Interval of hellos. The directory of gateways drops one that has stopped after four of them. */
const helloIntervalMs = 500;
/** Interval of hellos until a configuration is received: shorter, since callers are refused until then. */
const bootstrapHelloIntervalMs = 200;
/** Interval of hellos while this gateway stops, since what it does next depends on the others. */
const leavingHelloIntervalMs = 250;
/**
Interval at which the primary home is asked for its fleet summary, which renews the records of unchanged instances. An instance counts as lost
after more than three times as long.
*/
const fleetIntervalMs = 1500;
/** Rounds between two polls of coordinators that are not a home, which rarely have updates that the homes lack. */
const roundsPerPoll = 2;
const callTimeoutMs = 1200;
/** Coordinators that have not answered for this long are removed, except for the seeds. */
const coordinatorRetentionMs = 30_000;
/**
If no coordinator has been current for this long after the start, the gateway serves by the newest configuration it received: a stale one is
better than none.
*/
const staleServingDelayMs = 2000;

/** Age of the state of a coordinator of older software at most, which says only that it is current. */
const legacyStateAgeMs = 1500;

type KnownCoordinator = {
	readonly availabilityZone: string | undefined;
	/** When it last answered, or was first listed by another coordinator. */
	readonly heardAtMs: number;
	readonly isCurrent: boolean;
	readonly isLost: boolean;
};

/**
Creates the client of the coordinators. Its traffic does not grow with the number of coordinators or gateways.

@example
```
const client = createCoordinatorClient({getDaemonRecord, getSeeds, links, clock, log, onPublished, onPeers, onRegistryUpdate, ...rest});
```
*/
export function createCoordinatorClient(options: CoordinatorClientOptions): CoordinatorClient {
	const {
		getDaemonRecord, getSeeds, links, clock, log, onPublished, getVersionInForce, onTargetAges, onPeers, onRegistryUpdate, onRequestLimits, onQuarantine, onRound, onHomeChange,
		onRecordKeeperChange,
	} = options;
	const coordinators = new Map<string, KnownCoordinator>();
	const startedAtMs = clock.readMonotonicMs();
	let registry = createInstanceRegistry();
	let revision = 0;
	let configVersion = 0;
	let hasCurrent = false;
	let confirmation: ConfigConfirmation | undefined;
	let gatewayCount: number | undefined;
	let leaderAddress: string | undefined;
	let home: string | undefined;
	let homes: readonly string[] = [];
	let recordKeepers: readonly string[] = [];
	/** By address, the run of each coordinator that answered, and of each that holds this gateway's records. */
	const bootIds = new Map<string, string>();
	const keptBootIds = new Map<string, string>();
	let round = 0;
	let fleetRequestDueMs = 0;
	/** Incarnations of leaving instances, by id, that have not been reported to a home yet. */
	const unreportedLeaving = new Map<string, number>();

	/** The latest time for which this gateway has learnt all that had been accepted by then. */
	let knownAtMs: number | undefined;

	const adjustAges = (weights: PublishedSnapshot['weights'], {isCurrent, transitMs}: {readonly isCurrent: boolean; readonly transitMs: number}) => adjustTargetAges(weights, {
		isCurrent, transitMs, sinceKnownMs: knownAtMs === undefined ? undefined : clock.readMonotonicMs() - knownAtMs,
	});

	const applyPublished = (published: PublishedSnapshot, source: StateSource) => {
		const lacksText = published.configText === undefined && published.configVersion > configVersion;

		if (published.revision <= revision || lacksText) {
			return;
		}

		revision = published.revision;
		configVersion = Math.max(configVersion, published.configVersion);
		onPublished(published, source);
	};

	const recordKnown = (toldBy: string, atMs: number) => {
		knownAtMs = Math.max(knownAtMs ?? Number.NEGATIVE_INFINITY, atMs);

		// A version that cannot be used leaves an older one in force.
		if (configVersion > 0 && getVersionInForce() >= configVersion) {
			confirmation = recordConfirmation(confirmation, {version: configVersion, toldBy, knownAtMs: atMs}, {nowMs: clock.readMonotonicMs(), log});
		}
	};

	const applyPublishedReply = (address: string, {published, targetAges, isCurrent, stateAgeMs = isCurrent ? legacyStateAgeMs : undefined}: HelloReply, roundTripMs: number) => {
		const source: StateSource = {toldBy: address, isCurrent, transitMs: roundTripMs};
		const transit = {isCurrent, transitMs: roundTripMs};

		if (published !== undefined) {
			applyPublished({...published, weights: adjustAges(published.weights, transit)}, source);
		}

		if (targetAges !== undefined) {
			onTargetAges(adjustAges(targetAges, transit), source);
		}

		if (stateAgeMs !== undefined && (published === undefined || published.revision <= revision)) {
			recordKnown(address, clock.readMonotonicMs() - roundTripMs - stateAgeMs);
		}
	};

	const applyInstanceNotes = (notes: readonly InstanceUpdate[]) => {
		const previousRegistry = registry;

		for (const {record, ageMs, loadingLeftMs} of notes) {
			if (record.stage === InstanceStage.Draining && registry.held.get(record.id)?.record.stage === InstanceStage.Ready) {
				log.info('told that an instance leaves', {id: record.id, incarnation: record.incarnation});
			}

			registry = mergeInstanceRecord(registry, record, {nowMs: clock.readMonotonicMs(), ageMs, loadingLeftMs}).registry;
		}

		if (registry !== previousRegistry) {
			onRegistryUpdate(registry);
		}
	};

	const sendLeavingReport = async () => {
		if (home === undefined) {
			return;
		}

		const nowMs = clock.readMonotonicMs();
		const reported = [...unreportedLeaving].filter(([id, incarnation]) => registry.held.get(id)?.record.incarnation === incarnation);
		unreportedLeaving.clear();

		if (reported.length === 0) {
			return;
		}

		const notes = reported.map(([id]) => createInstanceUpdate(registry.held.get(id)!, nowMs));

		try {
			await callAndValidate(links, {address: home, message: {kind: LinkMessageKind.ReportInstances, notes}, timeoutMs: callTimeoutMs});
		} catch (error) {
			log.info('could not report leaving instances to the home coordinator', {home, instances: reported.length, reason: String(error)});

			for (const [id, incarnation] of reported) {
				unreportedLeaving.set(id, incarnation);
			}
		}
	};

	const applyFleetSummary = (fleet: FleetSummary, isCurrent: boolean) => {
		const nowMs = clock.readMonotonicMs();
		registry = applyRenewals(registry, fleet.renewals, nowMs);
		onRequestLimits(fleet.requestLimits ?? []);
		onRegistryUpdate(registry);
		// A coordinator that has just started, or is partitioned, does not know most gateways, so its count is used only if there is no other.
		gatewayCount = isCurrent || gatewayCount === undefined ? Math.max(1, fleet.gateways) : gatewayCount;
		fleetRequestDueMs = nowMs + fleetIntervalMs;

		for (const card of fleet.coordinators) {
			const previous = coordinators.get(card.linkAddress);
			coordinators.set(card.linkAddress, {
				availabilityZone: card.availabilityZone, heardAtMs: previous?.heardAtMs ?? nowMs, isCurrent: previous?.isCurrent ?? false, isLost: previous?.isLost ?? false,
			});
		}
	};

	const notifyRecordKeepers = () => {
		for (const keeper of recordKeepers) {
			const bootId = bootIds.get(keeper);

			if (bootId !== undefined && keptBootIds.get(keeper) !== bootId) {
				keptBootIds.set(keeper, bootId);
				onRecordKeeperChange(keeper);
			}
		}
	};

	const handleReply = (address: string, reply: HelloReply, roundTripMs: number) => {
		const previous = coordinators.get(address);
		coordinators.set(address, {
			availabilityZone: previous?.availabilityZone, heardAtMs: clock.readMonotonicMs(), isCurrent: reply.isCurrent, isLost: false,
		});

		if (previous?.isLost === true) {
			log.info('coordinator regained', {address});
		}

		applyInstanceNotes(reply.news?.notes ?? []);

		if (reply.news?.cursor.bootId !== undefined) {
			bootIds.set(address, reply.news.cursor.bootId);
			notifyRecordKeepers();
		}

		if (reply.fleet !== undefined) {
			applyFleetSummary(reply.fleet, reply.isCurrent);
		}

		applyPublishedReply(address, reply, roundTripMs);

		if (reply.peers !== undefined) {
			onPeers(reply.peers);
		}

		if (homes.length === 0 || homes.includes(address)) {
			onQuarantine(address, reply.quarantine);
		}

		leaderAddress = reply.isCurrent ? reply.leaderAddress ?? leaderAddress : leaderAddress;
		hasCurrent ||= reply.isCurrent && configVersion > 0;
	};

	const helloClient = createHelloClient({
		clock,
		links,
		timeoutMs: callTimeoutMs,
		getHello: () => ({card: getDaemonRecord(), publishedRevision: revision, configVersion}),
		onReply: handleReply,
		onFailure(address, error) {
			const previous = coordinators.get(address);
			keptBootIds.delete(address);

			if (previous?.isLost !== true) {
				log.warn('coordinator lost', {address, reason: String(error)});
			}

			coordinators.set(address, {
				availabilityZone: previous?.availabilityZone, heardAtMs: previous?.heardAtMs ?? clock.readMonotonicMs(), isCurrent: false, isLost: true,
			});
		},
	});

	const listAddresses = () => [...new Set([...getSeeds(), ...coordinators.keys()])];

	const chooseHomes = () => {
		const {name, availabilityZone} = getDaemonRecord();
		// A coordinator that has not answered the hello of the previous round is skipped until it does.
		const candidates = listAddresses().map(address => ({
			address,
			availabilityZone: coordinators.get(address)?.availabilityZone,
			isHealthy: coordinators.get(address)?.isCurrent === true && !helloClient.isAwaitingReply(address),
			isLeader: address === leaderAddress,
		}));
		homes = pickHomes(name, availabilityZone, candidates);
		const nextKeepers = pickRecordKeepers(name, homes[0], candidates);

		// One that was given up meanwhile may have missed records.
		for (const keeper of recordKeepers) {
			if (!nextKeepers.includes(keeper)) {
				keptBootIds.delete(keeper);
			}
		}

		recordKeepers = nextKeepers;
		notifyRecordKeepers();

		if (homes[0] !== home) {
			const previousHome = home;
			home = homes[0];
			log.info('home coordinator changed', {home, before: previousHome});
			onHomeChange(home, previousHome);
		}
	};

	const sendHelloToNextNonHome = (addresses: readonly string[]) => {
		const others = addresses.filter(address => !homes.includes(address) && !helloClient.isAwaitingReply(address));

		if (others.length > 0) {
			helloClient.sendHello(others[Math.floor(round / roundsPerPoll) % others.length]!, {greeting: HelloKind.Visitor, wantsFleet: configVersion === 0});
		}
	};

	const runRound = () => {
		const nowMs = clock.readMonotonicMs();
		registry = expireInstances(registry, nowMs);

		for (const [address, {heardAtMs}] of coordinators) {
			if (nowMs - heardAtMs >= coordinatorRetentionMs) {
				coordinators.delete(address);
			}
		}

		chooseHomes();

		for (const [position, address] of homes.entries()) {
			helloClient.sendHello(address, {
				greeting: position === 0 ? HelloKind.PrimaryHome : HelloKind.SecondaryHome, wantsFleet: position === 0 && nowMs >= fleetRequestDueMs,
			});
		}

		if (round % roundsPerPoll === 0 || configVersion === 0) {
			sendHelloToNextNonHome(listAddresses());
		}

		round++;

		if (unreportedLeaving.size > 0) {
			void sendLeavingReport();
		}

		onRound(nowMs);
	};

	let timer: NodeJS.Timeout;

	const getRoundIntervalMs = () => {
		if (configVersion === 0) {
			return bootstrapHelloIntervalMs;
		}

		return getDaemonRecord().leaving === undefined ? helloIntervalMs : leavingHelloIntervalMs;
	};

	const runNextRound = () => {
		runRound();
		timer = setTimeout(runNextRound, getRoundIntervalMs());
	};

	runNextRound();

	return {
		applyPublished(published) {
			// A leader may send what it has just replayed, of which it cannot tell the age yet.
			applyPublished({...published, weights: adjustAges(published.weights, {isCurrent: false, transitMs: 0})}, {toldBy: undefined, isCurrent: false, transitMs: 0});
		},
		applyInstanceUpdates: applyInstanceNotes,
		reportLeaving({id, incarnation}) {
			registry = setDraining(registry, {id, incarnation});
			unreportedLeaving.set(id, incarnation);
			onRegistryUpdate(registry);
			void sendLeavingReport();
		},
		getConfirmation: () => getVersionInForce() >= configVersion ? confirmation : undefined,
		isCurrent: () => hasCurrent || (configVersion > 0 && clock.readMonotonicMs() - startedAtMs >= staleServingDelayMs),
		countGateways: () => gatewayCount ?? 1,
		findInstance: id => registry.held.get(id),
		listInstances: () => registry.held.values(),
		getHome: () => home,
		listRecordKeepers: () => recordKeepers,
		listCoordinators: listAddresses,
		sendHelloToAll() {
			chooseHomes();

			for (const address of listAddresses()) {
				const position = homes.indexOf(address);
				const helloKinds = [HelloKind.PrimaryHome, HelloKind.SecondaryHome];
				helloClient.sendHello(address, {greeting: helloKinds[position] ?? HelloKind.Visitor, wantsUpdates: false});
			}
		},
		stop() {
			clearTimeout(timer);
		},
	};
}
