import {randomBytes} from 'node:crypto';
import {isFlag, isRecordOf, type Clock} from '@fescuestair/core';
import {
	createGatewayDirectory, createInstanceRegistry, createNote, DaemonRole, getHeldList, GreetingRole, isHello, isInstanceNotes,
	isPublished, listCards, listGateways, listHomeAddresses, listHomes, listNews, listRenewals, NewsKind, setLoading, setModelVersion,
	takeCard, takeHomeHello, takeHomeList, takeRecord, takeRenewals, tidyDirectory, tidyRegistry, type DaemonCard,
	type DaemonTable, type HeldInstance, type Hello, type HelloReply, type InstanceNote, type InstanceRecord, type Published,
} from '@fescuestair/instances';
import {isSuspectNotes} from '@fescuestair/limits';
import {
	isName, LinkKind, type LinkCommands, type LinkMessage,
} from '@fescuestair/protocol';
import {createGreeter, type Log, type ServedMetrics} from '@fescuestair/runtime';
import {type Links} from '@fescuestair/transport';
import {createLoadRelayHost} from './load-relay-host.js';

export type FleetOptions = {
	readonly self: DaemonCard;
	readonly clock: Clock;
	readonly links: Links;
	readonly log: Log;
	readonly metrics: ServedMetrics;
	readonly commands: LinkCommands;
	/** Link addresses of coordinators that are known otherwise: seeds, and members of the group. */
	readonly listAddresses: () => readonly string[];
	/** What a daemon lacks that holds a revision and a version of the configuration. */
	readonly describePublished: (revision: number, configVersion: number) => Published | undefined;
	readonly getConfigVersion: () => number;
	readonly isCurrent: () => boolean;
	/** Link address of the replica that leads, this one too. */
	readonly getLeaderAddress: () => string | undefined;
	/** A coordinator that is current named the replica that leads. */
	readonly onLeaderNamed: (address: string | undefined) => void;
	/** Called in each round with the coordinators that are greeted. */
	readonly onRound: (addresses: readonly string[]) => void;
};

/** What a coordinator does for the other daemons: it knows instances and gateways, and passes on what changes. */
export type Fleet = {
	/** Takes what an instance says of itself and tells all daemons if it is news. */
	readonly announce: (record: InstanceRecord) => void;
	readonly findInstance: (id: string) => InstanceRecord | undefined;
	readonly listInstances: () => Iterable<HeldInstance>;
	readonly setLoading: (instanceId: string, deadlineMs: number) => void;
	readonly setModelVersion: (instanceId: string, model: {readonly name: string; readonly version: number}) => void;
	readonly listGateways: () => readonly DaemonCard[];
	/** Whether gateways poll here for stored parts. */
	readonly hasHomes: () => boolean;
	/** Tells all daemons of a new version. */
	readonly tellPublished: (published: Published) => void;
	readonly stop: () => void;
};

const bootBytes = 6;
/** Word of a coordinator to the others, at intervals. */
const helloMs = 500;
/** A gateway that said nothing for longer, four of its rounds, is not named to callers. */
const gatewayAgeMs = 2000;
const coordinatorAgeMs = 10_000;
const callTimeoutMs = 1500;
/** A coordinator that has just started knows few gateways: callers are not sent to these alone before all had a round to tell it. */
const settleMs = 1200;
/** Coordinators that are asked in one round for instances that were heard again; each knows what it was told itself. */
const fleetSources = 4;

/**
Creates the fleet side of a coordinator.

@example
```
const fleet = createFleet({self, clock, links, log, metrics, commands, ...rest});
fleet.announce(record);
```
*/
export function createFleet(options: FleetOptions): Fleet {
	const {
		self, clock, links, log, metrics, commands, listAddresses, describePublished, getConfigVersion, isCurrent, getLeaderAddress, onLeaderNamed, onRound,
	} = options;
	const bootId = randomBytes(bootBytes).toString('hex');
	const settledAtMs = clock.readMonotonicMs() + settleMs;
	const heldBy = new Map<string, HelloReply['heldHomes']>();
	let registry = createInstanceRegistry();
	let daemons: DaemonTable = new Map();
	let directory = createGatewayDirectory();
	let round = 0;

	const getTimes = () => ({nowMs: clock.readMonotonicMs(), gatewayAgeMs, coordinatorAgeMs});

	const listCoordinators = () => listCards(daemons, {role: DaemonRole.Coordinator, nowMs: clock.readMonotonicMs(), maxAgeMs: coordinatorAgeMs});

	const sendToCoordinators = (message: LinkMessage) => {
		for (const {linkAddress} of listCoordinators()) {
			links.send(linkAddress, message);
		}
	};

	const sendToHomes = (message: LinkMessage, except?: string) => {
		for (const address of listHomeAddresses(directory)) {
			if (address !== except) {
				links.send(address, message);
			}
		}
	};

	// A coordinator that is cut off from the others is no home, but gateways may reach it: it tells them itself.
	const sendToAllGateways = (message: LinkMessage) => {
		for (const {linkAddress} of listGateways(directory, getTimes())) {
			links.send(linkAddress, message);
		}
	};

	const tellNotes = (notes: readonly InstanceNote[]) => {
		sendToCoordinators({kind: LinkKind.Instances, notes, isRelayed: false});
		const message: LinkMessage = {kind: LinkKind.Instances, notes, isRelayed: true};

		if (isCurrent()) {
			sendToHomes(message);
		} else {
			sendToAllGateways(message);
		}
	};

	const tellInstance = (id: string) => {
		const held = registry.held.get(id);

		if (held !== undefined) {
			tellNotes([createNote(held, clock.readMonotonicMs())]);
		}
	};

	// Returns the notes that were news.
	const takeNotes = (notes: readonly InstanceNote[]) => notes.filter(({record, ageMs, loadingLeftMs}) => {
		const taken = takeRecord(registry, record, {nowMs: clock.readMonotonicMs(), ageMs, loadingLeftMs});
		registry = taken.registry;

		return taken.news === NewsKind.Changed;
	});

	const takeGreeting = ({card, greeting, homes}: Hello) => {
		const nowMs = clock.readMonotonicMs();

		if (greeting === GreetingRole.Peer) {
			daemons = takeCard(daemons, card, nowMs);
			directory = takeHomeList(directory, {from: card.linkAddress, list: homes, nowMs});
		} else if (greeting !== GreetingRole.Visitor) {
			const {revision} = directory;
			directory = takeHomeHello(directory, {card, isPrimary: greeting === GreetingRole.PrimaryHome, nowMs});

			// Callers must not be sent to a gateway that leaves.
			if (directory.revision !== revision && !card.isReady) {
				greetOthers();
			}
		}
	};

	const answerHello = (hello: Hello): HelloReply => {
		takeGreeting(hello);
		const nowMs = clock.readMonotonicMs();
		const {newsAfter} = hello;

		return {
			news: newsAfter && {
				cursor: {bootId, revision: registry.revision},
				notes: listNews(registry, {afterRevision: newsAfter.bootId === bootId ? newsAfter.revision : 0, nowMs}),
			},
			fleet: hello.wantsFleet
				? {
					renewals: listRenewals(registry, nowMs), coordinators: [self, ...listCoordinators()], gateways: listGateways(directory, getTimes()).length,
				}
				: undefined,
			published: describePublished(hello.publishedRevision, hello.configVersion),
			leaderAddress: getLeaderAddress(),
			isCurrent: isCurrent(),
			heldHomes: hello.greeting === GreetingRole.Peer ? getHeldList(directory, hello.card.linkAddress) : undefined,
		};
	};

	const greeter = createGreeter({
		links,
		timeoutMs: callTimeoutMs,
		// Replicas are told of what was published by agreement, not here.
		getHello: () => ({card: self, publishedRevision: Number.MAX_SAFE_INTEGER, configVersion: getConfigVersion()}),
		onReply(address, reply) {
			heldBy.set(address, reply.heldHomes);

			if (reply.isCurrent) {
				onLeaderNamed(reply.leaderAddress);
			}

			takeNotes(reply.news?.notes ?? []);

			if (reply.fleet !== undefined) {
				registry = takeRenewals(registry, reply.fleet.renewals, clock.readMonotonicMs());
				takeCoordinators(reply.fleet.coordinators);
			}
		},
		onLost(address, error) {
			heldBy.delete(address);
			log.debug('a coordinator did not answer', {address, reason: String(error)});
		},
	});

	// Others are only taken for known once they answer themselves; their addresses are worth a try.
	const takeCoordinators = (cards: readonly DaemonCard[]) => {
		for (const card of cards) {
			if (card.name !== self.name && !daemons.has(card.name)) {
				daemons = takeCard(daemons, card, clock.readMonotonicMs());
			}
		}
	};

	const listOtherAddresses = () => [...new Set([...listAddresses(), ...listCoordinators().map(card => card.linkAddress)])]
		.filter(address => address !== self.linkAddress);

	const greetOthers = () => {
		const addresses = listOtherAddresses();
		const homes = listHomes(directory, self.incarnation);

		for (const [place, address] of addresses.entries()) {
			const held = heldBy.get(address);
			const isHeld = held?.incarnation === homes.incarnation && held.revision === homes.revision;
			const isSource = (place + round) % addresses.length < fleetSources;

			if (!greeter.isAwaiting(address)) {
				greeter.greet(address, {
					greeting: GreetingRole.Peer, wantsNews: isSource || registry.held.size === 0, wantsFleet: isSource, ...(!isHeld && {homes}),
				});
			}
		}

		return addresses;
	};

	const runRound = () => {
		const {nowMs} = getTimes();
		registry = tidyRegistry(registry, nowMs);
		directory = tidyDirectory(directory, getTimes());
		const addresses = greetOthers();
		round += fleetSources;
		onRound(addresses);
	};

	commands.registerCommand(LinkKind.Hello, isRecordOf({hello: isHello}), ({hello, reply}) => {
		reply?.({kind: 'hello', reply: answerHello(hello)});

		return true;
	});
	commands.registerCommand(LinkKind.Instances, isRecordOf({notes: isInstanceNotes, isRelayed: isFlag}), ({notes}) => {
		const news = takeNotes(notes);

		if (news.length > 0) {
			sendToHomes({kind: LinkKind.Instances, notes: news, isRelayed: true});
		}

		return true;
	});
	commands.registerCommand(LinkKind.ReportInstances, isRecordOf({notes: isInstanceNotes}), ({notes, reply}) => {
		const news = takeNotes(notes);

		if (news.length > 0) {
			log.info('a gateway reports instances', {instances: news.map(({record}) => ({id: record.id, incarnation: record.incarnation, stage: record.stage}))});
			tellNotes(news.map(({record}) => createNote(registry.held.get(record.id)!, clock.readMonotonicMs())));
		}

		reply?.({kind: 'noted'});

		return true;
	});
	commands.registerCommand(LinkKind.Suspects, isRecordOf({from: isName, notes: isSuspectNotes, isRelayed: isFlag}), ({from, notes, isRelayed}) => {
		const message: LinkMessage = {
			kind: LinkKind.Suspects, from, notes, isRelayed: true,
		};
		sendToHomes(message, from);

		if (!isRelayed) {
			sendToCoordinators(message);
		}

		return true;
	});
	// The replica that leads tells the other coordinators, and each of them its gateways.
	commands.registerCommand(LinkKind.Published, isRecordOf({published: isPublished}), ({published}) => {
		sendToHomes({kind: LinkKind.Published, published});

		return true;
	});

	const relay = createLoadRelayHost({
		linkAddress: self.linkAddress,
		clock,
		links,
		commands,
		listGateways: () => listHomeAddresses(directory, {isPrimary: true}),
		listRelays: () => [...directory.told].filter(([, {list}]) => list.cards.length > 0).map(([address]) => address),
	});

	metrics.registerGauge('instances_known', 'Instances that announced themselves', () => registry.held.size);
	metrics.registerGauge('gateways_known', 'Gateways that were heard lately', () => listGateways(directory, getTimes()).length);
	metrics.registerGauge('gateways_at_home', 'Gateways that have this coordinator as a home', () => directory.homes.size);

	const timer = setInterval(runRound, helloMs);
	runRound();

	return {
		announce(record) {
			const taken = takeRecord(registry, record, {nowMs: clock.readMonotonicMs()});
			registry = taken.registry;

			metrics.count('announcements_total', {news: taken.news});

			if (taken.news === NewsKind.Changed) {
				log.info('instance changed', {
					id: record.id, service: record.service, address: record.address, stage: record.stage, incarnation: record.incarnation,
					sequence: record.sequence, models: record.models,
				});
				tellInstance(record.id);
			} else if (taken.news === NewsKind.Stale) {
				log.info('announcement is stale', {id: record.id, incarnation: record.incarnation, sequence: record.sequence});
			}
		},
		findInstance: id => registry.held.get(id)?.record,
		listInstances: () => registry.held.values(),
		setLoading(instanceId, deadlineMs) {
			registry = setLoading(registry, instanceId, deadlineMs);
			tellInstance(instanceId);
		},
		setModelVersion(instanceId, model) {
			registry = setModelVersion(registry, instanceId, model);
			tellInstance(instanceId);
		},
		listGateways: () => clock.readMonotonicMs() < settledAtMs ? [] : listGateways(directory, getTimes()),
		hasHomes: () => listHomeAddresses(directory, {isPrimary: true}).length > 0,
		tellPublished(published) {
			const message: LinkMessage = {kind: LinkKind.Published, published};
			sendToCoordinators(message);
			sendToHomes(message);
		},
		stop() {
			clearInterval(timer);
			relay.stop();
		},
	};
}
