import {randomBytes} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {planMembers, type Timing} from '@fescuestair/agreement';
import {createSystemClock, type Clock, type Finding} from '@fescuestair/core';
import {
	createInstanceRegistry, createNote, DaemonRole, listCards, listNews, NewsKind, setLoading, setModelVersion, takeCard, takeRecord, tidyRegistry,
	type DaemonCard, type DaemonTable, type FleetNews, type Hello, type HelloReply, type InstanceNote, type InstanceRecord, type NewsCursor,
	type Published,
} from '@fescuestair/instances';
import {
	createLinkCommands, LinkKind, ProposalError, type LinkMessage, type LinkReply,
} from '@fescuestair/protocol';
import {type PartsPoll} from '@fescuestair/parts';
import {proposeAtLeader} from '@fescuestair/replication';
import {
	createGreeter, openCommandListener, type Log, type ServedMetrics,
} from '@fescuestair/runtime';
import {type StoreFigures, type TrafficConfig} from '@fescuestair/traffic';
import {createLinks} from '@fescuestair/transport';
import {
	describePublished, PublishKind, type PublishAnswer, type PublishCommand, type PublishedState,
} from './published-state.js';
import {computeLeastVoters, waitForVoters} from './group-size.js';
import {createNewestOnly} from './newest-only.js';
import {createPartKeeper, type StoreClient} from './part-keeper.js';
import {createReplicaHost} from './replica-host.js';
import {createWeightOrders, type WeightOrdersOptions} from './weight-orders.js';

export type CoordinatorOptions = {
	readonly name: string;
	readonly availabilityZone: string;
	readonly linkAddress: string;
	/** Where operators and instances reach this daemon. */
	readonly serviceAddress: string;
	readonly dataFolder: string;
	/** Link addresses of some coordinators. */
	readonly getSeeds: () => readonly string[];
	/** The whole system starts for the first time: the seeds begin the group. */
	readonly isFirstStart: boolean;
	/** Decodes a configuration; without findings it may be in force. */
	readonly decodeConfig: (text: string) => {readonly config: TrafficConfig | undefined; readonly findings: readonly Finding[]};
	readonly storeClient: StoreClient;
	readonly sendOrder: WeightOrdersOptions['sendOrder'];
	readonly fetchReport: WeightOrdersOptions['fetchReport'];
	/** A new giver of orders waits this long after the one before may have given its last. */
	readonly orderHandoverMs: number;
	/** Disks that may be lost at once without losing anything that was accepted. */
	readonly lossesBorne?: number;
	readonly clock?: Clock;
	readonly log: Log;
	readonly metrics: ServedMetrics;
};

export enum ChangeOutcome {
	/** In force, or something newer is; durable. */
	Accepted = 'accepted',
	Invalid = 'invalid',
	/** May or may not come into force; to be sent again. */
	Unavailable = 'unavailable',
}

export type ChangeAnswer = {readonly outcome: ChangeOutcome; readonly findings: readonly Finding[]};

export type Coordinator = {
	/** Accepts a configuration once it is durable on a majority. */
	readonly putConfig: (text: string) => Promise<ChangeAnswer>;
	/** Reads the newest configuration, confirmed by a majority; throws where that cannot be had. */
	readonly readConfig: () => Promise<Published>;
	readonly nameWeights: (model: string, version: number) => Promise<ChangeAnswer>;
	/** Takes what an instance says of itself and tells all daemons if it is news. */
	readonly announce: (record: InstanceRecord) => void;
	/** Finds the newest record of an instance. */
	readonly findInstance: (id: string) => InstanceRecord | undefined;
	/** Service addresses of gateways that take callers. */
	readonly listGateways: () => readonly DaemonCard[];
	readonly isReady: () => boolean;
	readonly stop: () => Promise<void>;
};

/** Word of a daemon, at intervals; a gateway that stopped is out of the directory after four of them. */
const helloMs = 500;
/** Gateways that said nothing for longer are not named to callers. */
const gatewayAgeMs = 2000;
const coordinatorAgeMs = 10_000;
const callTimeoutMs = 1500;
const upkeepMs = 250;
/** A voter that answered nothing for this long may be replaced. */
const lostMs = 2500;
/** A leader is heard at least this often where this replica is current. */
const currentMs = 1500;
const handoverMs = 200;
/** Age of weights of which it is not known when they were named: older than any bound on their use. */
const unknownAgeMs = 60_000;
/** What is published sooner after a start comes from before it. */
const replayMs = 3000;
/** A group of this size goes on through a loss while another member is being replaced. */
const usualVoters = 5;
const bootBytes = 6;
/**
Slow enough for small instances, quick enough that a lost leader is replaced within 1.5 s. Reads and orders are confirmed by a majority and
wait out their own spans, so that nothing rests on the lease of a leader before a restart.
*/
const timing: Timing = {
	heartbeatMs: 150, electionMs: 700, leaseMs: 550, startElectionMs: 150,
};

/**
Creates a coordinator: one replica of the durable state, the registry of instances and the directory of gateways.

@example
```
const coordinator = await createCoordinator({name: 'core-1', dataFolder: '/data', ...rest});
await coordinator.putConfig(text);
```
*/
export async function createCoordinator(options: CoordinatorOptions): Promise<Coordinator> {
	const {
		name, availabilityZone, linkAddress, serviceAddress, dataFolder, getSeeds, isFirstStart, decodeConfig, orderHandoverMs,
		storeClient,
		lossesBorne = 1, clock = createSystemClock(), log, metrics,
	} = options;
	const links = createLinks({getKeys: undefined});
	const bootId = randomBytes(bootBytes).toString('hex');
	const self: DaemonCard = {
		name, role: DaemonRole.Coordinator, incarnation: clock.readWallMs(), linkAddress, serviceAddress, availabilityZone, isReady: true,
	};
	const namedWeights = new Map<string, number>();
	const startedAtMs = clock.readMonotonicMs();
	let registry = createInstanceRegistry();
	let daemons: DaemonTable = new Map();
	let leaderHeardAtMs = Number.NEGATIVE_INFINITY;
	let leadingSinceMs: number | undefined;
	/** For a coordinator without a place in the group. */
	let hintedLeaderAddress: string | undefined;
	let stores: readonly StoreFigures[] = [];
	const seeds = getSeeds();

	const describe = (state: PublishedState, knownConfigVersion: number) => describePublished(state, {
		knownConfigVersion,
		// What was found on the disk may have been named at any time.
		getWeightsAgeMs(model, version) {
			const namedAtMs = namedWeights.get(`${model} ${version}`);

			return namedAtMs === undefined ? unknownAgeMs : clock.readMonotonicMs() - namedAtMs;
		},
	});

	const noteNamedWeights = (state: PublishedState) => {
		for (const [model, version] of state.weights) {
			const key = `${model} ${version}`;

			if (!namedWeights.has(key)) {
				// Right after a start this replays what was named long before.
				namedWeights.set(key, clock.readMonotonicMs() - startedAtMs < replayMs ? clock.readMonotonicMs() - unknownAgeMs : clock.readMonotonicMs());
			}
		}
	};

	const applyPublished = createNewestOnly(({state, isLeading}: {readonly state: PublishedState; readonly isLeading: boolean}) => {
		const config = state.configText === undefined ? undefined : decodeConfig(state.configText).config;
		stores = (config?.services ?? []).flatMap(service => service.store?.isManaged === true ? [service.store] : []);
		log.info('published', {revision: state.revision, configVersion: state.configVersion, weights: Object.fromEntries(state.weights)});

		// The one that leads tells everyone; the others are asked by whoever missed it.
		if (isLeading) {
			const message: LinkMessage = {kind: LinkKind.Published, published: describe(state, -1)};

			for (const card of listOthers()) {
				links.send(card.linkAddress, message);
			}
		}
	});

	const onPublished = (state: PublishedState, isLeading: boolean) => {
		noteNamedWeights(state);
		applyPublished({state, isLeading});
	};

	const replica = await createReplicaHost({
		name, linkAddress, dataFolder, clock, links, log, timing, onPublished,
		firstGroup: isFirstStart && seeds.includes(linkAddress) ? {ownAddress: linkAddress, addresses: seeds} : undefined,
	});

	const listOthers = () => [
		...listCards(daemons, {role: DaemonRole.Gateway, nowMs: clock.readMonotonicMs(), maxAgeMs: gatewayAgeMs}),
		...listCards(daemons, {role: DaemonRole.Coordinator, nowMs: clock.readMonotonicMs(), maxAgeMs: coordinatorAgeMs}),
	];

	const tellNote = (note: InstanceNote) => {
		for (const card of listOthers()) {
			links.send(card.linkAddress, {kind: LinkKind.Instances, notes: [note]} satisfies LinkMessage);
		}
	};

	const tellInstance = (id: string) => {
		const held = registry.held.get(id);

		if (held !== undefined) {
			tellNote(createNote(held, clock.readMonotonicMs()));
		}
	};

	const takeNotes = (notes: readonly InstanceNote[]) => {
		for (const {record, ageMs, loadingLeftMs} of notes) {
			const taken = takeRecord(registry, record, {nowMs: clock.readMonotonicMs(), ageMs, loadingLeftMs});
			registry = taken.registry;
		}
	};

	const findLeaderAddress = () => {
		const address = isCurrent() ? replica.findLeaderAddress() : replica.findLeaderAddress() ?? hintedLeaderAddress;

		return address === linkAddress ? undefined : address;
	};

	const isCurrent = () => replica.getLeadingTerm() !== undefined || clock.readMonotonicMs() - leaderHeardAtMs < currentMs;

	const listFleetNews = (after: NewsCursor): FleetNews => {
		const nowMs = clock.readMonotonicMs();

		return {
			cursor: {bootId, revision: registry.revision},
			notes: listNews(registry, {afterRevision: after.bootId === bootId ? after.revision : 0, nowMs}),
			coordinators: [self, ...listCards(daemons, {role: DaemonRole.Coordinator, nowMs, maxAgeMs: coordinatorAgeMs})],
			gateways: listCards(daemons, {role: DaemonRole.Gateway, nowMs, maxAgeMs: gatewayAgeMs}).map(card => card.linkAddress),
		};
	};

	const answerHello = (hello: Hello): HelloReply => {
		const nowMs = clock.readMonotonicMs();
		const published = replica.getPublished();
		daemons = takeCard(daemons, hello.card, nowMs);

		return {
			news: hello.newsAfter === undefined ? undefined : listFleetNews(hello.newsAfter),
			published: published.revision > hello.publishedRevision
				? describe(published, hello.configVersion)
				: undefined,
			leaderAddress: replica.getLeadingTerm() === undefined ? replica.findLeaderAddress() : linkAddress,
			isCurrent: isCurrent(),
		};
	};

	const leastVoters = computeLeastVoters(lossesBorne);

	const proposeHere = async (command: PublishCommand) => {
		await waitForVoters({clock, getState: replica.getState, leastVoters});

		return replica.propose(command);
	};

	const answerProposal = async (command: PublishCommand): Promise<LinkReply> => {
		try {
			const {isNew} = await proposeHere(command);

			return {kind: 'answer', answer: isNew};
		} catch (error) {
			const isRefused = error instanceof ProposalError && error.isCertainlyLost;

			return isRefused ? {kind: 'not_leader', leaderAddress: undefined} : {kind: 'error', message: String(error)};
		}
	};

	const answerRead = async (): Promise<LinkReply> => {
		try {
			await replica.confirmRead();

			return {kind: 'published', published: describe(replica.getPublished(), -1)};
		} catch (error) {
			return {kind: 'error', message: String(error)};
		}
	};

	const commands = createLinkCommands();
	commands.registerCommand(LinkKind.Agreement, message => {
		replica.receive(message);
		const state = replica.getState();

		if (state?.leaderId === message.fromId) {
			leaderHeardAtMs = clock.readMonotonicMs();
		}

		return true;
	});
	commands.registerCommand(LinkKind.Join, message => {
		replica.door.noteCandidate(message);

		return true;
	});
	commands.registerCommand(LinkKind.Hello, ({hello, reply}) => {
		reply?.({kind: 'hello', reply: answerHello(hello as Hello)});

		return true;
	});
	commands.registerCommand(LinkKind.Instances, ({notes}) => {
		takeNotes(notes as readonly InstanceNote[]);

		return true;
	});
	commands.registerCommand(LinkKind.Propose, ({command, reply}) => {
		void (async () => reply?.(await answerProposal(command as PublishCommand)))();

		return true;
	});
	commands.registerCommand(LinkKind.ReadPublished, ({reply}) => {
		void (async () => reply?.(await answerRead()))();

		return true;
	});
	// Replicas learn by agreement; a coordinator without a vote asks the leader when it is read.
	commands.registerCommand(LinkKind.Published, () => true);
	const server = await openCommandListener({
		listen: linkAddress, getKeys: undefined, commands, log,
	});

	const listCoordinatorAddresses = () => new Set([
		...getSeeds(),
		...listCards(daemons, {role: DaemonRole.Coordinator, nowMs: clock.readMonotonicMs(), maxAgeMs: coordinatorAgeMs}).map(card => card.linkAddress),
		...(replica.getState()?.members ?? []).map(member => member.address),
	].filter(address => address !== linkAddress));

	const takeFleetNews = ({notes, coordinators}: FleetNews) => {
		takeNotes(notes);

		// Others are only taken for known once they answer themselves; their addresses are worth a try.
		for (const card of coordinators) {
			if (card.name !== name && !daemons.has(card.name)) {
				daemons = takeCard(daemons, card, clock.readMonotonicMs());
			}
		}
	};

	const greeter = createGreeter({
		links,
		timeoutMs: callTimeoutMs,
		// Replicas are told of what was published by agreement, not here.
		getHello: () => ({card: self, publishedRevision: Number.MAX_SAFE_INTEGER, configVersion: replica.getPublished().configVersion}),
		onReply(_address, {news, isCurrent: isLeaderKnown, leaderAddress}) {
			hintedLeaderAddress = isLeaderKnown ? leaderAddress : hintedLeaderAddress;

			if (news !== undefined) {
				takeFleetNews(news);
			}
		},
		onLost(address, error) {
			log.debug('a coordinator did not answer', {address, reason: String(error)});
		},
	});

	const sayHelloToAll = () => {
		registry = tidyRegistry(registry, clock.readMonotonicMs());

		const addresses = [...listCoordinatorAddresses()];
		greeter.greetAll(addresses, {knowsNothing: registry.held.size === 0});

		// Also a replica that was replaced while it was cut off asks for a place again; the leader leaves out who has one.
		if (!isCurrent()) {
			for (const address of addresses) {
				links.send(address, {
					kind: LinkKind.Join, id: replica.door.getIdentity().id, name, address: linkAddress,
				} satisfies LinkMessage);
			}
		}
	};

	const keepGroup = async () => {
		const nowMs = clock.readMonotonicMs();

		if (replica.getLeadingTerm() === undefined) {
			leadingSinceMs = undefined;

			return;
		}

		leadingSinceMs ??= nowMs;
		const state = replica.getState()!;
		const next = planMembers({
			members: state.members,
			candidates: replica.door.listCandidates(state.members),
			getHeardAtMs: id => id === state.id ? nowMs : Math.max(leadingSinceMs ?? nowMs, state.progress.get(id)?.ackedSentAtMs ?? 0),
			nowMs,
			wantedVoters: Math.max(usualVoters, leastVoters),
			lostMs,
		});

		if (next !== undefined) {
			log.info('the members of the group change', {from: state.members.map(member => member.id), to: next.map(member => member.id)});

			try {
				await replica.getRunner()?.changeMembers(next);
			} catch (error) {
				log.warn('the members did not change', {reason: String(error)});
			}
		}
	};

	const orders = createWeightOrders({
		holder: name,
		clock,
		log,
		listInstances: () => registry.held.values(),
		getWeights: () => replica.getPublished().weights,
		getLeadingTerm: replica.getLeadingTerm,
		confirmLeading: replica.confirmRead,
		sendOrder: options.sendOrder,
		fetchReport: options.fetchReport,
		onLoading(instanceId, deadlineMs) {
			registry = setLoading(registry, instanceId, deadlineMs);
			tellInstance(instanceId);
		},
		onLoaded(instanceId, model) {
			registry = setModelVersion(registry, instanceId, model);
			tellInstance(instanceId);
		},
		handoverMs: orderHandoverMs,
	});

	const keeper = createPartKeeper({
		clock,
		log,
		client: storeClient,
		listStores: () => stores,
		getWeights: () => replica.getPublished().weights,
		getLeadingTerm: replica.getLeadingTerm,
	});
	commands.registerCommand(LinkKind.PollParts, ({poll, reply}) => {
		const parts = keeper.answer(poll as PartsPoll);
		reply?.(parts === undefined ? {kind: 'error', message: 'does not keep the parts'} : {kind: 'parts', reply: parts});

		return true;
	});

	const propose = async (command: PublishCommand): Promise<ChangeAnswer> => {
		try {
			await proposeAtLeader<PublishCommand>({
				links, proposeHere, findLeaderAddress,
			}, command);

			return {outcome: ChangeOutcome.Accepted, findings: []};
		} catch (error) {
			log.warn('a change was not agreed on', {kind: command.kind, version: command.version, reason: String(error)});

			return {outcome: ChangeOutcome.Unavailable, findings: []};
		}
	};

	metrics.registerGauge('published_revision', 'Changes that were agreed on', () => replica.getPublished().revision);
	metrics.registerGauge('config_version', 'Version of the configuration in force', () => replica.getPublished().configVersion);
	metrics.registerGauge('leads', 'Whether this replica leads the group', () => replica.getLeadingTerm() === undefined ? 0 : 1);
	metrics.registerGauge('instances_known', 'Instances that announced themselves', () => registry.held.size);
	metrics.registerGauge('gateways_known', 'Gateways that were heard lately', () => listCards(daemons, {
		role: DaemonRole.Gateway, nowMs: clock.readMonotonicMs(), maxAgeMs: gatewayAgeMs,
	}).length);

	const timers = [
		setInterval(sayHelloToAll, helloMs),
		setInterval(() => {
			void keepGroup();
		}, upkeepMs),
	];
	sayHelloToAll();
	log.info('coordinator started', {...self, identity: replica.door.getIdentity().id, isFirstStart});

	return {
		async putConfig(text) {
			const {config, findings} = decodeConfig(text);
			const version = config?.version;

			if (version === undefined || findings.length > 0) {
				log.warn('configuration refused', {findings: findings.map(finding => `${finding.place}: ${finding.message}`)});

				return {outcome: ChangeOutcome.Invalid, findings};
			}

			const published = replica.getPublished();
			const isHeld = published.configText !== undefined && version <= published.configVersion;
			const answer = isHeld ? {outcome: ChangeOutcome.Accepted, findings: []} : await propose({kind: PublishKind.PutConfig, version, text});
			metrics.count('changes_total', {kind: 'config', outcome: answer.outcome});
			log.info('configuration received', {version, outcome: answer.outcome, isHeld});

			return answer;
		},
		async readConfig() {
			const leaderAddress = findLeaderAddress();

			if (leaderAddress === undefined) {
				await replica.confirmRead();

				return describe(replica.getPublished(), -1);
			}

			const answer = await links.call(leaderAddress, {kind: LinkKind.ReadPublished} satisfies LinkMessage, callTimeoutMs) as LinkReply;

			if (answer.kind !== 'published') {
				throw new ProposalError(true, answer.kind === 'error' ? answer.message : 'the leader did not answer the read');
			}

			return answer.published as Published;
		},
		async nameWeights(model, version) {
			const answer = await propose({kind: PublishKind.NameWeights, model, version});
			log.info('weights named', {model, version, outcome: answer.outcome});

			return answer;
		},
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
		listGateways: () => listCards(daemons, {role: DaemonRole.Gateway, nowMs: clock.readMonotonicMs(), maxAgeMs: gatewayAgeMs}).filter(card => card.isReady),
		isReady: isCurrent,
		async stop() {
			for (const timer of timers) {
				clearInterval(timer);
			}

			orders.stop();
			keeper.stop();
			replica.getRunner()?.transferLeadership();
			await sleep(handoverMs);
			await server.close();
			await replica.stop();
			links.close();
		},
	};
}

