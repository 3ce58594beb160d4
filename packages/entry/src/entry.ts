import {setMaxListeners} from 'node:events';
import {Agent as HttpAgent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent} from 'undici';
import {type Clock, createSystemClock} from '@fescuestair/core';
import {
	admitRequest, createAdmission, createRetryBudget, depositSuccess, finishRequest, hasRetry, setShare, withdrawRetry,
} from '@fescuestair/limits';
import {
	listServing, MemberStatus, RecordKind, type MemberRecord,
} from '@fescuestair/membership';
import {
	createLinkCommands, isGossipMessage, isPollStateMessage, isRunResumedMessage, LinkMessageKind, RefusalCode, type LinkMessage,
} from '@fescuestair/protocol';
import {
	createLinkFaultHandler, createFindRequestEvents, createGossip, createPermitClient, createRequestLimits, openCommandListener, type Logger, type StatsdMetrics,
} from '@fescuestair/runtime';
import {findItem, getPresetInForce, ItemKind} from '@fescuestair/state';
import {
	createLinks, parseAddress, type ClusterKeys, type KeyRing,
} from '@fescuestair/transport';
import {createCallerListener} from './caller-listener.js';
import {createControlClient} from './control-client.js';
import {createUpstreamLoadTracker} from './upstream-load-tracker.js';
import {createCacheFollower} from './cache-follower.js';
import {createExporter} from './exporter.js';
import {createLinkBudgets} from './link-budgets.js';
import {createDistributedPieceDirectory} from './distributed-piece-directory.js';
import {createLeftRuns, type RunKey} from './left-runs.js';
import {createLongPromptQueue} from './long-prompt-queue.js';
import {createRequestEventRecorder} from './request-event-recorder.js';
import {createRefusal, type EntryServices} from './request-context.js';
import {createStateFollower} from './state-follower.js';
import {createUpstreamListener} from './upstream-listener.js';
import {createUpstreamRegistry} from './upstream-registry.js';
import {createUpstreamStates} from './upstream-states.js';
import {rankEntries} from './rank-members.js';

export type EntryOptions = {
	readonly name: string;
	readonly incarnation: number;
	readonly availabilityZone: string;
	readonly listen: string;
	readonly upstreamListen: string;
	readonly peerListen: string;
	/** Link addresses of daemons of any role, from which gossip starts. */
	readonly seeds: readonly string[];
	readonly controlSeeds: readonly string[];
	readonly getClusterKeys: () => ClusterKeys;
	/** Returns the keys with which upstreams authenticate when they announce themselves. */
	readonly getJoinKeys: () => KeyRing;
	/** How long callers may cache the response of `/v1/entries`. */
	readonly keepEntriesMs?: number;
	readonly upstreamLeaseMs?: number;
	/** Whether requests are served even while the replicated state that this entry holds is stale. */
	readonly servesStale?: boolean;
	readonly log: Logger;
	readonly metrics: StatsdMetrics;
	readonly clock?: Clock;
	readonly onFailure: (error: unknown) => void;
};

export type Entry = {
	/**
	Stops gracefully: leaves the list of entries, waits until cached lists have expired and running requests have ended, then closes; at the latest at
	the deadline. `cut` is the number of requests that were still running then and were aborted.
	*/
	readonly stop: (deadlineMs: number) => Promise<{readonly cut: number}>;
	readonly countRunning: () => number;
};

const maxConnectionsPerUpstream = 512;
/** Requests to upstreams time out if nothing arrives for this long. Runs and calls are not: they have time-outs of their own. */
const upstreamIdleTimeoutMs = 2500;
const connectTimeoutMs = 1500;
/** Idle connections to services are closed after this time, so that few calls are sent on one that the service is about to close. */
const serviceIdleTimeoutMs = 3000;
/** Interval of the checks for a change of readiness and, while stopping, for running requests. */
const pollIntervalMs = 50;
/** Time allowed for callers whose answers break off because this entry stops to be told so. */
const refusalTimeoutMs = 1500;
/** Time allowed for a change of this entry's status to reach the other members by gossip. */
const gossipPropagationMs = 500;

/**
Creates an entry: its listeners for callers, upstreams and other daemons, and the background tasks behind them.

@example
```
const entry = await createEntry({name: 'entry-1', listen: '127.0.0.1:7000', ...settings, onFailure});
await entry.stop(clock.readMonotonicMs() + 60_000);
```
*/
export async function createEntry(options: EntryOptions): Promise<Entry> {
	const {
		name, incarnation, availabilityZone, log, metrics, clock = createSystemClock(), onFailure, keepEntriesMs = 5000, upstreamLeaseMs = 3000,
		servesStale = false,
	} = options;
	const links = createLinks({getKeys: options.getClusterKeys});
	const self: MemberRecord = {
		id: name,
		kind: RecordKind.Entry,
		incarnation,
		version: 1,
		status: MemberStatus.Alive,
		address: options.peerListen,
		availabilityZone,
		details: {callerAddress: options.listen, upstreamAddress: options.upstreamListen},
	};
	const gossip = createGossip({
		self, seeds: [...new Set([...options.seeds, ...options.controlSeeds])], clock, links, onFailure,
	});
	const listEntryRecords = () => listServing(gossip.getMembership(), RecordKind.Entry);
	const follower = createStateFollower({
		clock,
		links,
		controlSeeds: options.controlSeeds,
		listPeerAddresses: () => listEntryRecords().filter(record => record.id !== name).map(record => record.address),
	});
	const control = createControlClient({clock, links, follower});
	const requestEventRecorder = createRequestEventRecorder({gossip, links});
	const agent = new Agent({
		connections: maxConnectionsPerUpstream, headersTimeout: upstreamIdleTimeoutMs, bodyTimeout: upstreamIdleTimeoutMs, connectTimeout: connectTimeoutMs,
	});
	const serviceAgent = new HttpAgent({
		keepAlive: true, maxSockets: maxConnectionsPerUpstream, maxFreeSockets: maxConnectionsPerUpstream, scheduling: 'lifo', timeout: serviceIdleTimeoutMs,
	});
	const leftRuns = createLeftRuns();
	let admission = createAdmission(1);
	let retryBudget = createRetryBudget();
	let isLeaving = false;
	let isClosing = false;
	const stopController = new AbortController();
	// Each request that runs listens.
	setMaxListeners(0, stopController.signal);

	const isReady = () => !isLeaving && !isDrained() && (follower.isFresh() || servesStale) && getPresetInForce(follower.getState()) !== undefined;
	const isDrained = () => findItem(follower.getState(), ItemKind.Drain, name) !== undefined;

	const homes = createDistributedPieceDirectory({
		name, availabilityZone, gossip, links,
	});
	const budgets = createLinkBudgets({
		clock,
		countEntries: () => listEntryRecords().length,
		getLinkShare: () => getPresetInForce(follower.getState())?.linkShare ?? 1,
	});
	const exporter = createExporter({
		agent, linkBudgets: budgets, clock, follower, gossip, homes, log, metrics, recordRequestEvent: requestEventRecorder.record,
	});
	const cacheFollower = createCacheFollower({
		name, clock, agent, gossip, homes, log,
	});

	const requestLimits = createRequestLimits({
		clock,
		log,
		onChange(note, {isOwn}) {
			permits.reopen(note.id);

			if (isOwn) {
				standings.publishRequestLimit(note);
			}
		},
	});
	const permits = createPermitClient({
		clock, links, log, requestLimits, getGrantorAddress: () => follower.getLeaderAddress() ?? follower.listControlAddresses()[0], count: metrics.count,
	});

	const standings = createUpstreamStates({
		clock, gossip, log, requestLimits, permits,
	});

	const announceClaim = ({organisation, requestId}: RunKey) => {
		for (const {address} of listEntryRecords().filter(record => record.id !== name)) {
			links.send(address, {kind: LinkMessageKind.RunResumed, organisation, requestId} satisfies LinkMessage);
		}
	};

	const services: EntryServices = {
		name,
		incarnation,
		availabilityZone,
		clock,
		log,
		metrics,
		agent,
		serviceAgent,
		gossip,
		follower,
		control,
		loadTracker: createUpstreamLoadTracker(clock),
		standings,
		permits,
		longPromptQueue: createLongPromptQueue(clock),
		servesStale,
		leftRuns,
		claimRun(run) {
			announceClaim(run);

			return leftRuns.claim(run);
		},
		announceClaim,
		recordRequestEvent: requestEventRecorder.record,
		stopSignal: stopController.signal,
		admit(organisation, requestClass, limit) {
			admission = setShare(admission, 1 / Math.max(1, listEntryRecords().length));
			const admissionResult = admitRequest(admission, {
				organisation, requestClass, limit, nowMs: clock.readMonotonicMs(),
			});
			admission = admissionResult.admission;

			if (!admissionResult.answer.isAdmitted) {
				const seconds = Math.ceil(admissionResult.answer.retryAfterMs / 1000);
				throw createRefusal(RefusalCode.LimitReached, `the limit of ${organisation} for ${requestClass} requests is reached`, seconds);
			}

			return () => {
				admission = finishRequest(admission, organisation, requestClass);
			};
		},
		hasRetry: () => hasRetry(retryBudget),
		withdrawRetry() {
			const withdrawal = withdrawRetry(retryBudget);
			retryBudget = withdrawal.budget;

			return withdrawal.isAllowed;
		},
		depositSuccess() {
			retryBudget = depositSuccess(retryBudget);
		},
		findRequestEvents: createFindRequestEvents({gossip, links}),
		homes,
		linkBudgets: budgets,
		exporter,
	};

	const commands = createLinkCommands({
		onFault: createLinkFaultHandler({
			log, clock, count: metrics.count,
		}),
	});
	commands.registerCommand(LinkMessageKind.Gossip, isGossipMessage, command => {
		gossip.receive(command);

		return true;
	});
	commands.registerCommand(LinkMessageKind.PollState, isPollStateMessage, ({publicVersion, reply}) => {
		reply?.(follower.answerPoll(publicVersion));

		return true;
	});
	commands.registerCommand(LinkMessageKind.RunResumed, isRunResumedMessage, run => {
		leftRuns.claim(run);

		return true;
	});
	homes.registerCommands(commands);

	const linkServer = await openCommandListener({
		listen: options.peerListen, getKeys: options.getClusterKeys, commands, log,
	});
	const registry = createUpstreamRegistry({
		entryId: name, clock, gossip, leaseMs: upstreamLeaseMs,
	});
	const upstreamListener = await createUpstreamListener({
		listen: parseAddress(options.upstreamListen), getJoinKeys: options.getJoinKeys, registry, log,
	});

	const listEntries = (caller: string, preferredZone: string | undefined) => {
		const ranked = rankEntries(listEntryRecords(), {availabilityZone: preferredZone ?? availabilityZone, caller});

		return {
			entries: ranked.map(record => ({id: record.id, address: record.details.callerAddress, availabilityZone: record.availabilityZone})),
			keepUntil: new Date(clock.readWallMs() + keepEntriesMs).toISOString(),
			keepMs: keepEntriesMs,
		};
	};

	const listener = await createCallerListener({
		listen: parseAddress(options.listen),
		services,
		listEntries,
		isReady,
		isClosing: () => isClosing,
	});

	// An entry whose state is stale, or that is drained, publishes that it is leaving, so that callers no longer get it from `/v1/entries`.
	const statusTimer = setInterval(() => {
		const wantedStatus = isReady() ? MemberStatus.Alive : MemberStatus.Leaving;

		if (gossip.getMembership().held.get(name)!.record.status !== wantedStatus) {
			gossip.publishSelf({status: wantedStatus});
		}
	}, pollIntervalMs);

	log.info('entry started', {listen: options.listen, upstreamListen: options.upstreamListen, peerListen: options.peerListen});

	return {
		countRunning: listener.countRunning,
		async stop(deadlineMs) {
			isLeaving = true;
			gossip.publishSelf({status: MemberStatus.Leaving});
			const entryListExpiryMs = clock.readMonotonicMs() + keepEntriesMs + gossipPropagationMs;

			while (clock.readMonotonicMs() < deadlineMs && (clock.readMonotonicMs() < entryListExpiryMs || listener.countRunning() > 0)) {
				await sleep(pollIntervalMs);
			}

			isClosing = true;
			leftRuns.stop();
			exporter.stop();
			cacheFollower.stop();
			const cut = listener.countRunning();
			stopController.abort();
			const closeDeadlineMs = clock.readMonotonicMs() + refusalTimeoutMs;

			while (clock.readMonotonicMs() < closeDeadlineMs && listener.countRunning() > 0) {
				await sleep(pollIntervalMs);
			}

			clearInterval(statusTimer);
			registry.stop();
			permits.stop();
			await listener.close();
			await upstreamListener.close();
			follower.stop();
			gossip.publishSelf({status: MemberStatus.Dead});
			await sleep(gossipPropagationMs);
			gossip.stop();
			await linkServer.close();
			links.close();
			await agent.close();
			serviceAgent.destroy();

			return {cut};
		},
	};
}
