import {setTimeout as sleep} from 'node:timers/promises';
import {isPeerMessage, planMembers, type Timing} from '@fescuestair/agreement';
import {
	createSystemClock, isOneOf, isRecordOf, type Clock, type Finding,
} from '@fescuestair/core';
import {
	DaemonRole, isPublished, type DaemonCard, type InstanceRecord, type Published,
} from '@fescuestair/instances';
import {
	callChecked, createLinkCommands, isJoinMessage, isName, LinkKind, ProposalError, requireChecked, type LinkMessage, type LinkReply,
} from '@fescuestair/protocol';
import {isPartsPoll, encodePartsReply} from '@fescuestair/parts';
import {proposeAtLeader} from '@fescuestair/replication';
import {
	createFaultLog, openCommandListener, registerLinkMetrics, type Log, type ServedMetrics,
} from '@fescuestair/runtime';
import {type StoreFigures, type TrafficConfig} from '@fescuestair/traffic';
import {createLinks} from '@fescuestair/transport';
import {
	describePublished, isPublishCommand, PublishKind, type PublishAnswer, type PublishCommand, type PublishedState,
} from './published-state.js';
import {computeLeastVoters, waitForVoters} from './group-size.js';
import {createFleet} from './fleet.js';
import {createCoalescer} from './coalescer.js';
import {createPartsIndexHost, type StoreClient} from './parts-index-host.js';
import {createPartsMirrorHost} from './parts-mirror-host.js';
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
/**
Slow enough for small instances, quick enough that a lost leader is replaced within 1.5 s. Reads and orders are confirmed by a majority and
wait out their own spans, so that nothing rests on the lease of a leader before a restart.
*/
const timing: Timing = {
	heartbeatMs: 150, electionMs: 700, leaseMs: 550, startElectionMs: 150,
};

const isPeerAgreement = isRecordOf({
	kind: isOneOf([LinkKind.Agreement]), groupId: isName, fromId: isName, fromAddress: isName, toId: isName, message: isPeerMessage,
});

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
	const self: DaemonCard = {
		name, role: DaemonRole.Coordinator, incarnation: clock.readWallMs(), linkAddress, serviceAddress, availabilityZone, isReady: true, sequence: 0,
	};
	const namedWeights = new Map<string, number>();
	const startedAtMs = clock.readMonotonicMs();
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

	const applyPublished = createCoalescer(({state, isLeading}: {readonly state: PublishedState; readonly isLeading: boolean}) => {
		const config = state.configText === undefined ? undefined : decodeConfig(state.configText).config;
		stores = (config?.services ?? []).flatMap(service => service.store?.isManaged === true ? [service.store] : []);
		log.info('published', {revision: state.revision, configVersion: state.configVersion, weights: Object.fromEntries(state.weights)});

		// The one that leads tells everyone; whoever missed it is told with the answer to its next hello.
		if (isLeading) {
			fleet.sendPublished(describe(state, -1));
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

	const findLeaderAddress = () => {
		const address = isCurrent() ? replica.findLeaderAddress() : replica.findLeaderAddress() ?? hintedLeaderAddress;

		return address === linkAddress ? undefined : address;
	};

	// A leader whose lease lapses for a moment is as current as a follower that has not heard of it for that long.
	const isCurrent = () => {
		if (replica.getLeadingTerm() !== undefined) {
			leaderHeardAtMs = clock.readMonotonicMs();
		}

		return clock.readMonotonicMs() - leaderHeardAtMs < currentMs;
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

	const commands = createLinkCommands({
		onFault: createFaultLog({log, clock, count: metrics.count}),
	});
	commands.registerCommand(LinkKind.Agreement, isPeerAgreement, message => {
		replica.receive(message);
		const state = replica.getState();

		if (state?.leaderId === message.fromId) {
			leaderHeardAtMs = clock.readMonotonicMs();
		}

		return true;
	});
	commands.registerCommand(LinkKind.Join, isJoinMessage, message => {
		replica.door.noteCandidate(message);

		return true;
	});
	commands.registerCommand(LinkKind.Propose, isRecordOf({command: isPublishCommand}), ({command, reply}) => {
		void (async () => reply?.(await answerProposal(command)))();

		return true;
	});
	commands.registerCommand(LinkKind.ReadPublished, isRecordOf({}), ({reply}) => {
		void (async () => reply?.(await answerRead()))();

		return true;
	});
	const fleet = createFleet({
		self,
		clock,
		links,
		log,
		metrics,
		commands,
		listCoordinatorAddresses: () => [...getSeeds(), ...(replica.getState()?.members ?? []).map(member => member.address)],
		describePublishedSince(revision, configVersion) {
			const published = replica.getPublished();

			return published.revision > revision ? describe(published, configVersion) : undefined;
		},
		getConfigVersion: () => replica.getPublished().configVersion,
		isCurrent,
		getLeaderAddress: () => replica.getLeadingTerm() === undefined ? replica.findLeaderAddress() : linkAddress,
		onLeaderReported(address) {
			hintedLeaderAddress = address;
		},
		onRound(addresses) {
			// Also a replica that was replaced while it was cut off asks for a place again; the leader leaves out who has one.
			if (!isCurrent()) {
				for (const address of addresses) {
					links.send(address, {
						kind: LinkKind.Join, id: replica.door.getIdentity().id, name, address: linkAddress,
					} satisfies LinkMessage);
				}
			}
		},
	});
	registerLinkMetrics(metrics, {links, commands});
	const server = await openCommandListener({
		listen: linkAddress, getKeys: undefined, commands, log,
	});

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
		listInstances: fleet.listInstances,
		getTargetVersions: () => replica.getPublished().weights,
		getLeadingTerm: replica.getLeadingTerm,
		confirmLeading: replica.confirmRead,
		sendOrder: options.sendOrder,
		fetchReport: options.fetchReport,
		onLoading: fleet.setLoading,
		onLoaded: fleet.setModelVersion,
		handoverMs: orderHandoverMs,
	});

	const partsIndex = createPartsIndexHost({
		clock,
		log,
		client: storeClient,
		listStores: () => stores,
		getTargetVersions: () => replica.getPublished().weights,
		getLeadingTerm: replica.getLeadingTerm,
	});
	const mirror = createPartsMirrorHost({
		clock, log, links, findLeaderAddress, isPolled: fleet.hasPrimaryGateways,
	});
	commands.registerCommand(LinkKind.PollParts, isRecordOf({poll: isPartsPoll}), ({poll, reply}) => {
		const parts = partsIndex.answer(poll);
		reply?.(parts === undefined ? mirror.answer(poll) ?? {kind: 'error', message: 'knows no parts yet'} : {kind: 'parts', reply: encodePartsReply(parts), ageMs: 0});

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
	const timer = setInterval(() => {
		void keepGroup();
	}, upkeepMs);
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

			const answer = await callChecked(links, {address: leaderAddress, message: {kind: LinkKind.ReadPublished}, timeoutMs: callTimeoutMs});

			if (answer.kind !== 'published') {
				throw new ProposalError(true, answer.kind === 'error' ? answer.message : 'the leader did not answer the read');
			}

			return requireChecked(answer.published, isPublished, leaderAddress);
		},
		async nameWeights(model, version) {
			const answer = await propose({kind: PublishKind.NameWeights, model, version});
			log.info('weights named', {model, version, outcome: answer.outcome});

			return answer;
		},
		announce: fleet.announce,
		findInstance: fleet.findInstance,
		listGateways: () => fleet.listGateways().filter(card => card.isReady),
		isReady: isCurrent,
		async stop() {
			clearInterval(timer);
			fleet.stop();
			mirror.stop();
			orders.stop();
			partsIndex.stop();
			replica.getRunner()?.transferLeadership();
			await sleep(handoverMs);
			await server.close();
			await replica.stop();
			links.close();
		},
	};
}

