import fs from 'node:fs/promises';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	getLastIndex, isPeerMessage, planMembershipChange, type ReplicaTiming,
} from '@fescuestair/agreement';
import {
	createFinding, createSystemClock, isOneOf, isObjectWith, type Clock, type Finding,
} from '@fescuestair/core';
import {
	createEvacuationView, diffEvacuations, getEvacuationEndedAtMs, type EvacuationStep, isEvacuationZone, recordEvacuatedZones, type EvacuationView,
} from '@fescuestair/evacuations';
import {
	DaemonRole, isPublishedSnapshot, type DaemonRecord, type InstanceRecord, type PublishedSnapshot, listGatewaysForCallers,
} from '@fescuestair/instances';
import {
	callAndValidate, createLinkCommands, isInviteToGroupMessage, isJoinMessage, isName, LinkMessageKind, ProposalError, requireValid, type LinkReply,
} from '@fescuestair/protocol';
import {isPartsPoll, encodePartsReply} from '@fescuestair/parts';
import {proposeAtLeader} from '@fescuestair/replication';
import {createSegmentStore} from '@fescuestair/storage';
import {
	createLinkFaultHandler, createPermitGrantor, openCommandListener, registerLinkMetrics, type Logger, type PrometheusMetrics,
} from '@fescuestair/runtime';
import {type ColdBound} from '@fescuestair/limits';
import {
	checkAllowedRegions, filterGateways, type ColdSettings, type GatewayLookup, type RegionsByZone, type Route, type StoreSettings, type TrafficConfig,
} from '@fescuestair/traffic';
import {createLinks} from '@fescuestair/transport';
import {
	describePublished, isPublishCommand, listTargetAges, PublishKind, type PublishAnswer, type PublishCommand, type PublishedState,
} from './published-state.js';
import {computeRequiredVoters, waitForVoters} from './group-size.js';
import {createDepartureStore} from './departure-store.js';
import {createFleet} from './fleet.js';
import {createFreshness} from './freshness.js';
import {createCoalescer} from './coalescer.js';
import {createPartsIndexHost, type StoreClient} from './parts-index-host.js';
import {createPartsMirrorHost} from './parts-mirror-host.js';
import {createReplicaHost, PublishedSource} from './replica-host.js';
import {createStreamOriginsHost} from './stream-origins-host.js';
import {createTargetAges} from './target-ages.js';
import {createWeightOrders, type WeightOrdersOptions} from './weight-orders.js';

export type CoordinatorOptions = {
	readonly name: string;
	readonly availabilityZone: string;
	readonly linkAddress: string;
	/** Address at which operators and instances reach this daemon. */
	readonly serviceAddress: string;
	readonly dataFolder: string;
	/** Link addresses of the coordinators to contact first. On the first start, they form the initial group. */
	readonly getSeeds: () => readonly string[];
	/** The whole system starts for the first time, so the seeds found the group. A coordinator that lost its disk joins all the same, if it stays set. */
	readonly isFirstStart: boolean;
	/** Decodes a configuration, which is valid if there are no findings. */
	readonly decodeConfig: (text: string) => {readonly config: TrafficConfig | undefined; readonly findings: readonly Finding[]};
	readonly storeClient: StoreClient;
	readonly sendOrder: WeightOrdersOptions['sendOrder'];
	readonly fetchReport: WeightOrdersOptions['fetchReport'];
	/** A new leader waits this long before its first order, so that no order of its predecessor can interleave with its own. */
	readonly orderHandoverMs: number;
	/** By how much a cold instance may be sent more than it accepts; absent if nobody sets a bound. */
	readonly coldBound?: ColdBound | undefined;
	/** Number of disks that can be lost at the same time without losing an accepted change. */
	readonly lossesBorne?: number;
	/** The region of each availability zone; where it names none, any zone can be evacuated. */
	readonly regionsByZone?: RegionsByZone;
	readonly clock?: Clock;
	readonly log: Logger;
	readonly metrics: PrometheusMetrics;
};

export enum ChangeOutcome {
	/** Durable, and in force unless superseded by a newer version. */
	Accepted = 'accepted',
	Invalid = 'invalid',
	/** The change names something that does not exist. */
	Unknown = 'unknown',
	/** The change may or may not come into force; the sender should retry. */
	Unavailable = 'unavailable',
}

export type ChangeAnswer = {readonly outcome: ChangeOutcome; readonly findings: readonly Finding[]};

export type Coordinator = {
	/** Proposes a configuration; accepted once it is durable on a majority. */
	readonly putConfig: (text: string) => Promise<ChangeAnswer>;
	/** Reads the newest configuration, confirmed by a majority; throws if no majority confirms it. */
	readonly readConfig: () => Promise<PublishedSnapshot>;
	/** Proposes the target version of a model's weights; accepted once it is durable on a majority. */
	readonly setTargetVersion: (model: string, version: number) => Promise<ChangeAnswer>;
	/** Begins or finishes the evacuation of an availability zone; accepted once it is durable on a majority. */
	readonly changeEvacuation: (zone: string, step: EvacuationStep) => Promise<ChangeAnswer>;
	/** What this coordinator knows of evacuations, and when it learnt that they ended. */
	readonly getEvacuations: () => EvacuationView;
	/** Records an announcement of an instance and forwards it to all daemons if it changes the registry; resolves once it may be acknowledged. */
	readonly announce: (record: InstanceRecord) => Promise<void>;
	/** Finds the newest record of an instance. */
	readonly findInstance: (id: string) => InstanceRecord | undefined;
	/** Gateways that a caller is to use. */
	readonly listGateways: (lookup: GatewayLookup) => readonly DaemonRecord[];
	readonly isReady: () => boolean;
	readonly stop: () => Promise<void>;
};

const callTimeoutMs = 1500;
const maxLoggedNameLength = 100;
/** Longer than the replacement of a lost leader takes; operators resend an evacuation to another coordinator within their own limit. */
const evacuationTimeoutMs = 2000;
const membersCheckIntervalMs = 250;
/** A voter that has acknowledged nothing for this long may be replaced. */
const voterTimeoutMs = 2500;
const leadershipTransferMs = 200;
/** Longest time that the end waits for the disk. */
const flushMs = 500;
/** With this many voters, the group tolerates the loss of one while another is being replaced. */
const targetVoters = 5;
/**
Slow enough for small machines, fast enough that a lost leader is replaced within 1.5 s. The election timeout after a start may be shorter than the
lease, since nothing relies on a lease that a leader may still hold from before the start: reads and orders are confirmed by a majority, and orders
and the parts index have waiting times of their own after a change of leader.
*/
const timing: ReplicaTiming = {
	heartbeatIntervalMs: 150, electionTimeoutMs: 700, leaseMs: 550, startupElectionTimeoutMs: 150,
};

const isPeerAgreement = isObjectWith({
	kind: isOneOf([LinkMessageKind.Agreement]), groupId: isName, fromId: isName, fromAddress: isName, toId: isName, message: isPeerMessage,
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
		coldBound, lossesBorne = 1, regionsByZone = new Map(), clock = createSystemClock(), log, metrics,
	} = options;
	const links = createLinks({getKeys: undefined});
	const self: DaemonRecord = {
		name, role: DaemonRole.Coordinator, incarnation: clock.readWallMs(), linkAddress, serviceAddress, availabilityZone, isReady: true, sequence: 0,
	};
	const startedAtMs = clock.readMonotonicMs();
	// What the replica loads while it opens is published before it is there.
	let readKnownAtMs: () => number | undefined = () => undefined;
	const freshness = createFreshness({
		clock, log, metrics, readKnownAtMs: () => readKnownAtMs(),
		describeGroup() {
			const state = replica.getState();

			return {
				role: state?.role, term: state?.term, leader: state?.leaderId, commitIndex: state?.commitIndex, lastIndex: state && getLastIndex(state.log),
				isMember: state?.members.some(member => member.id === state.id), revision: replica.getPublished().revision, configVersion: replica.getPublished().configVersion,
			};
		},
	});
	const {isCurrent} = freshness;
	const targetAges = createTargetAges({clock, getCurrentAtMs: freshness.getKnownAtMs});
	let leadingSinceMs: number | undefined;
	/** Leader's address as reported by other coordinators; used while this one is not a current member of the group. */
	let hintedLeaderAddress: string | undefined;
	let stores: readonly StoreSettings[] = [];
	let routes: readonly Route[] = [];
	let evacuations = createEvacuationView();
	let coldTerms: ReadonlyMap<string, ColdSettings | undefined> = new Map();
	const seeds = getSeeds();

	let publishedAtMs = clock.readMonotonicMs();

	const describe = (state: PublishedState, knownConfigVersion: number) => ({
		...describePublished(state, {knownConfigVersion, getWeightsAgeMs: targetAges.getAgeMs}), heldMs: clock.readMonotonicMs() - publishedAtMs,
	});

	const applyPublished = createCoalescer(({state, isLeading}: {readonly state: PublishedState; readonly isLeading: boolean}) => {
		const config = state.configText === undefined ? undefined : decodeConfig(state.configText).config;
		stores = (config?.services ?? []).flatMap(service => service.store?.isManaged === true ? [service.store] : []);
		routes = config?.routes ?? routes;
		coldTerms = new Map(config?.services.map(({name: service, cold}) => [service, cold]));
		log.info('published', {
			revision: state.revision, configVersion: state.configVersion, isLeading, weights: Object.fromEntries(state.weights), evacuatedZones: state.evacuatedZones,
		});

		// Only the leader sends the state to all daemons; a daemon that missed it gets it in the reply to its next hello.
		if (isLeading) {
			fleet.sendPublished(describe(state, -1));
		}
	});

	const onPublished = (state: PublishedState, source: PublishedSource) => {
		for (const [model, version] of targetAges.record(state)) {
			log.info('target version of weights known', {
				model, version, source, ageMs: Math.round(targetAges.getAgeMs(model, version)), sinceStartMs: Math.round(clock.readMonotonicMs() - startedAtMs),
			});
		}

		publishedAtMs = clock.readMonotonicMs();
		const {begun, ended} = diffEvacuations(evacuations, state.evacuatedZones);
		evacuations = recordEvacuatedZones(evacuations, state.evacuatedZones, clock.readMonotonicMs());

		if (begun.length > 0 || ended.length > 0) {
			log.info('evacuated zones changed', {
				begun, ended, source, revision: state.revision,
			});
		}

		applyPublished({state, isLeading: source === PublishedSource.OwnCommit});
	};

	const replica = await createReplicaHost({
		name, linkAddress, dataFolder, clock, links, log, timing, onPublished, onAgesRecorded: targetAges.record,
		firstGroup: isFirstStart && seeds.includes(linkAddress) ? {ownAddress: linkAddress, addresses: seeds} : undefined,
	});
	readKnownAtMs = () => replica.getRunner()?.getKnownAtMs();

	const findLeaderAddress = () => {
		const address = isCurrent() ? replica.findLeaderAddress() : replica.findLeaderAddress() ?? hintedLeaderAddress;

		return address === linkAddress ? undefined : address;
	};

	const requiredVoters = computeRequiredVoters(lossesBorne);

	const proposeHere = async (command: PublishCommand) => {
		await waitForVoters({clock, getState: replica.getState, requiredVoters});

		return replica.propose(command);
	};

	const answerProposal = async (command: PublishCommand): Promise<LinkReply> => {
		try {
			const {isNew} = await proposeHere(command);

			return {kind: 'answer', answer: isNew};
		} catch (error) {
			const isRefused = error instanceof ProposalError && error.isDefiniteFailure;

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
		onFault: createLinkFaultHandler({log, clock, count: metrics.count}),
	});
	commands.registerCommand(LinkMessageKind.Agreement, isPeerAgreement, message => {
		replica.receive(message);

		return true;
	});
	commands.registerCommand(LinkMessageKind.Join, isJoinMessage, message => {
		replica.groupMembership.recordCandidate(message);

		return true;
	});
	commands.registerCommand(LinkMessageKind.InviteToGroup, isInviteToGroupMessage, message => {
		replica.receiveInvitation(message);

		return true;
	});
	commands.registerCommand(LinkMessageKind.Propose, isObjectWith({command: isPublishCommand}), ({command, reply}) => {
		void (async () => reply?.(await answerProposal(command)))();

		return true;
	});
	commands.registerCommand(LinkMessageKind.ReadPublished, isObjectWith({}), ({reply}) => {
		void (async () => reply?.(await answerRead()))();

		return true;
	});
	const openSegments = async (folderName: string, content: string) => {
		const folder = path.join(dataFolder, folderName);

		try {
			await fs.mkdir(folder, {recursive: true});
		} catch (error) {
			log.warn('a folder cannot be created, so its content is kept in memory only', {folder, content, reason: String(error)});
		}

		return createSegmentStore({
			folder,
			clock,
			onFinding({place, message}) {
				log.warn('files on the disk were repaired', {place, content, reason: message});
			},
		});
	};

	const departures = createDepartureStore({clock, log, store: await openSegments('departures', 'departures of instances')});
	const fleet = createFleet({
		self,
		departures,
		knownDepartures: await departures.load(),
		listVoterAddresses: () => (replica.getState()?.members ?? []).filter(member => member.isVoter).map(member => member.address),
		clock,
		links,
		log,
		metrics,
		commands,
		getColdTerms: service => coldTerms.get(service),
		getColdSinceMs: zone => getEvacuationEndedAtMs(evacuations, zone, clock.readMonotonicMs()),
		coldBound,
		listCoordinatorAddresses: () => [...getSeeds(), ...(replica.getState()?.members ?? []).map(member => member.address)],
		describePublishedSince(revision, configVersion) {
			const published = replica.getPublished();

			return published.revision > revision ? describe(published, configVersion) : undefined;
		},
		getConfigVersion: () => replica.getPublished().configVersion,
		isCurrent,
		getStateAgeMs: freshness.getAgeMs,
		listTargetAges() {
			const state = replica.getPublished();

			return isCurrent() && targetAges.hasYoung(state) ? listTargetAges(state, targetAges.getAgeMs) : undefined;
		},
		getLeaderAddress: () => replica.getLeadingTerm() === undefined ? replica.findLeaderAddress() : linkAddress,
		isLeader: () => replica.getLeadingTerm() !== undefined,
		findLeaderAddress,
		onLeaderReported(address) {
			hintedLeaderAddress = address;
		},
		onRound(addresses) {
			// A replica that was replaced while it was cut off also asks to join again; the leader ignores requests of members.
			if (!isCurrent()) {
				for (const address of addresses) {
					links.send(address, replica.createJoinMessage());
				}
			}
		},
	});
	const origins = createStreamOriginsHost({
		clock, commands, log, metrics, store: await openSegments('origins', 'origins of streams'),
	});
	metrics.registerGauge('departures_disk_bytes', 'Bytes of the files that hold which instances leave or have left', departures.countBytes);
	const grantor = createPermitGrantor({
		clock, links, log, commands, requestLimits: fleet.requestLimits, getLeadingTerm: replica.getLeadingTerm, findLeaderAddress, leaseMs: timing.leaseMs,
	});
	metrics.registerGauge('permit_accounts', 'Instances for which permits were granted lately', grantor.countAccounts);
	registerLinkMetrics(metrics, {links, commands});
	const server = await openCommandListener({
		listen: linkAddress, getKeys: undefined, commands, log,
	});

	const reportedLostLogs = new Set<string>();

	const adjustMembers = async () => {
		const nowMs = clock.readMonotonicMs();

		if (replica.getLeadingTerm() === undefined) {
			leadingSinceMs = undefined;

			return;
		}

		leadingSinceMs ??= nowMs;
		const state = replica.getState()!;

		for (const id of state.lostLogIds) {
			if (!reportedLostLogs.has(id)) {
				reportedLostLogs.add(id);
				log.error('a member no longer holds what it has acknowledged, and counts no more', {member: id});
			}
		}

		const nextMembers = planMembershipChange({
			members: state.members,
			candidates: replica.groupMembership.listCandidates(state.members),
			getLastHeardAtMs: id => id === state.id ? nowMs : Math.max(leadingSinceMs ?? nowMs, state.progress.get(id)?.ackedSentAtMs ?? 0),
			nowMs,
			wantedVoters: Math.max(targetVoters, requiredVoters),
			lostMs: voterTimeoutMs,
		});

		if (nextMembers !== undefined) {
			log.info('the members of the group change', {from: state.members.map(member => member.id), to: nextMembers.map(member => member.id)});

			try {
				await replica.getRunner()?.changeMembers(nextMembers);
			} catch (error) {
				log.warn('change of group members failed', {reason: String(error)});
			}
		}
	};

	let isRecordingAges = false;

	const recordTargetAges = async () => {
		if (!isCurrent() || replica.getLeadingTerm() === undefined || isRecordingAges) {
			return;
		}

		isRecordingAges = true;

		try {
			for (const command of targetAges.listDueRecords(replica.getPublished())) {
				await replica.propose(command);
			}
		} catch (error) {
			log.info('the age of a target version was not recorded', {reason: String(error)});
		} finally {
			isRecordingAges = false;
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

	metrics.registerGauge('instances_overdue_for_weights', 'Instances that stay on older weights for longer than a rollout should take, as the leader knows them', orders.countOverdue);

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
	commands.registerCommand(LinkMessageKind.PollParts, isObjectWith({poll: isPartsPoll}), ({poll, reply}) => {
		const parts = partsIndex.answer(poll);
		reply?.(parts === undefined ? mirror.answer(poll) ?? {kind: 'error', message: 'knows no parts yet'} : {kind: 'parts', reply: encodePartsReply(parts), ageMs: 0});

		return true;
	});

	const propose = async (command: PublishCommand): Promise<ChangeAnswer> => {
		try {
			await proposeAtLeader<PublishCommand>({
				links, proposeLocally: proposeHere, findLeaderAddress,
			}, command);

			return {outcome: ChangeOutcome.Accepted, findings: []};
		} catch (error) {
			log.warn('change was not committed', {...describeCommand(command), reason: String(error)});

			return {outcome: ChangeOutcome.Unavailable, findings: []};
		}
	};

	metrics.registerGauge('published_revision', 'Changes that were agreed on', () => replica.getPublished().revision);
	metrics.registerGauge('config_version', 'Version of the configuration in force', () => replica.getPublished().configVersion);
	metrics.registerGauge('zones_evacuated', 'Availability zones to whose instances nothing is to be sent', () => replica.getPublished().evacuatedZones.length);
	metrics.registerGauge('leads', 'Whether this replica leads the group', () => replica.getLeadingTerm() === undefined ? 0 : 1);
	const timer = setInterval(() => {
		// Logs when that changes, also where nobody asks.
		isCurrent();
		grantor.refresh();
		void adjustMembers();
		void recordTargetAges();
	}, membersCheckIntervalMs);
	log.info('coordinator started', {...self, identity: replica.groupMembership.getIdentity().id, isFirstStart});

	return {
		async putConfig(text) {
			const {config, findings: ownFindings} = decodeConfig(text);
			const findings = [...ownFindings, ...(config === undefined ? [] : checkAllowedRegions(config, regionsByZone))];
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

			const answer = await callAndValidate(links, {address: leaderAddress, message: {kind: LinkMessageKind.ReadPublished}, timeoutMs: callTimeoutMs});

			if (answer.kind !== 'published') {
				throw new ProposalError(true, answer.kind === 'error' ? answer.message : 'the leader did not answer the read');
			}

			return requireValid(answer.published, isPublishedSnapshot, leaderAddress);
		},
		async setTargetVersion(model, version) {
			const answer = await propose({
				kind: PublishKind.SetTargetVersion, model, version, ageMs: 0,
			});
			log.info('weights named', {model, version, outcome: answer.outcome});

			return answer;
		},
		async changeEvacuation(zone, step) {
			if (!isEvacuationZone(zone) || (regionsByZone.size > 0 && !regionsByZone.has(zone))) {
				log.warn('evacuation of an unknown zone refused', {zone: zone.slice(0, maxLoggedNameLength), step});

				return {outcome: ChangeOutcome.Unknown, findings: [createFinding('zone', `is none of the availability zones ${[...regionsByZone.keys()].join(', ')}`)]};
			}

			// A leader that has lost its majority without knowing would wait for as long as it is cut off.
			const answer: ChangeAnswer = await Promise.race([
				propose({kind: PublishKind.ChangeEvacuation, step, zone}),
				sleep(evacuationTimeoutMs, {outcome: ChangeOutcome.Unavailable, findings: []}, {ref: false}),
			]);
			metrics.count('changes_total', {kind: 'evacuation', outcome: answer.outcome});
			log.info('evacuation received', {zone, step, outcome: answer.outcome});

			return answer;
		},
		getEvacuations: () => evacuations,
		announce: fleet.announce,
		findInstance: fleet.findInstance,
		listGateways: lookup => filterGateways(listGatewaysForCallers(fleet.listGateways()), lookup, {routes, regionsByZone, getZone: card => card.availabilityZone}),
		isReady: isCurrent,
		async stop() {
			clearInterval(timer);
			fleet.stop();
			grantor.stop();
			mirror.stop();
			orders.stop();
			partsIndex.stop();
			replica.getRunner()?.transferLeadership();
			await sleep(leadershipTransferMs);
			await server.close();
			// A disk that stalls must not keep the process from ending.
			await Promise.race([Promise.all([origins.stop(), departures.stop()]), sleep(flushMs)]);
			await replica.stop();
			links.close();
		},
	};
}

// The text of a configuration is too long for a log line.
function describeCommand(command: PublishCommand): Readonly<Record<string, unknown>> {
	return command.kind === PublishKind.ChangeEvacuation ? command : {kind: command.kind, version: command.version};
}
