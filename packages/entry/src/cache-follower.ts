import {
	cacheEventsSchema, cacheSnapshotSchema, listHomes, applyCacheEvents, applyCacheSnapshot, type EventPosition, type PieceChange,
} from '@fescuestair/kv';
import {
	listServing, RecordKind, type MemberRecord,
} from '@fescuestair/membership';
import {type Clock} from '@fescuestair/core';
import {UpstreamKind, type UpstreamDetails} from '@fescuestair/protocol';
import {type GossipHost, type Logger} from '@fescuestair/runtime';
import {type Agent} from 'undici';
import {callKv, type KvRequest} from './kv-client.js';
import {type DistributedPieceDirectory} from './distributed-piece-directory.js';

export type CacheFollowerOptions = {
	/** Name of this entry. */
	readonly name: string;
	readonly clock: Clock;
	readonly agent: Agent;
	readonly gossip: GossipHost;
	readonly homes: DistributedPieceDirectory;
	readonly log: Logger;
};

/**
Polls the cache events of the engines and stores that this entry sponsors (those that announce themselves to it), and forwards them to the homes of
the pieces: the entries that keep the directory of these pieces.
*/
export type CacheFollower = {
	readonly stop: () => void;
};

/** State of one followed upstream. */
type FollowState = {
	position: EventPosition;
	/** Whether a poll is in progress. */
	isBusy: boolean;
	/** The entries known when changes were last sent; homes are chosen from them. */
	notified: readonly MemberRecord[];
	/** Those of them that are homes, did not acknowledge an update and need a snapshot. */
	outdated: readonly MemberRecord[];
	/** When the snapshot is next sent to the outdated entries. */
	retryAtMs: number;
};

const pollIntervalMs = 200;
const requestTimeoutMs = 1000;
const resendIntervalMs = 1000;
/** A snapshot is sent in several updates of at most this many changes. */
const maxChangesPerUpdate = 500;

/**
Creates the follower of an entry. After a gap in the events or a restart of the upstream, it reads a snapshot and resets all
homes from it. A new home, or one that missed an update, is sent a snapshot without resetting the others.

@example
```
const follower = createCacheFollower({name, clock, agent, gossip, homes, log});
follower.stop();
```
*/
export function createCacheFollower(options: CacheFollowerOptions): CacheFollower {
	const {
		name, clock, agent, gossip, homes, log,
	} = options;
	const followed = new Map<string, FollowState>();
	const listEntries = () => listServing(gossip.getMembership(), RecordKind.Entry);

	const callUpstream = async <Answer>({address}: MemberRecord, request: KvRequest<Answer>) => callKv({agent, address, timeoutMs: requestTimeoutMs}, request);

	/** Sends changes to their homes concurrently; resolves to the homes that did not acknowledge them. */
	const sendChanges = async (upstreamId: string, {changes, resetTargets = [], getTargets}: SendChangesInput): Promise<readonly MemberRecord[]> => {
		const byHome = groupByHome(changes, getTargets);
		const targets = new Map([...byHome.keys(), ...resetTargets].map(home => [home.id, home]));
		const failedHomes: MemberRecord[] = [];

		await Promise.all([...targets.values()].map(async home => {
			const homeChanges = byHome.get(home) ?? [];
			const isReset = resetTargets.includes(home);

			try {
				for (let start = 0; start < Math.max(1, homeChanges.length); start += maxChangesPerUpdate) {
					await homes.sendUpdate(home, {upstreamId, isReset: isReset && start === 0, changes: homeChanges.slice(start, start + maxChangesPerUpdate)});
				}
			} catch (error) {
				failedHomes.push(home);
				log.debug('a home did not acknowledge a note of changes; it will get a snapshot', {home: home.id}, error);
			}
		}));

		return failedHomes;
	};

	const readSnapshot = async (record: MemberRecord) => callUpstream(record, {path: '/v1/cache-snapshot', schema: cacheSnapshotSchema});

	const resetHomesFromSnapshot = async (record: MemberRecord, state: FollowState) => {
		const entries = listEntries();
		const {position, changes} = applyCacheSnapshot(state.position, await readSnapshot(record));
		state.outdated = await sendChanges(record.id, {changes, resetTargets: entries, getTargets: root => listHomes(entries, root)});
		state.position = position;
		state.notified = entries;
	};

	// A new home of a prompt gets its pieces from a snapshot; entries that were homes of the prompt already do not need them again.
	const sendToNewHomes = async (record: MemberRecord, state: FollowState, entries: readonly MemberRecord[]) => {
		const {changes} = applyCacheSnapshot(state.position, await readSnapshot(record));
		const failedHomes = await sendChanges(record.id, {
			changes, getTargets: root => listHomes(entries, root).filter(home => !listHomes(state.notified, root).some(other => isSameIncarnation(home, other))),
		});
		state.notified = entries;
		state.outdated = [...state.outdated, ...failedHomes].filter(home => entries.some(entry => isSameIncarnation(entry, home)));
	};

	// A home that missed an update is reset from a snapshot; the others keep receiving events meanwhile.
	const resendToOutdated = async (record: MemberRecord, state: FollowState) => {
		const {outdated, notified} = state;
		const {changes} = applyCacheSnapshot(state.position, await readSnapshot(record));
		state.retryAtMs = clock.readMonotonicMs() + resendIntervalMs;
		state.outdated = await sendChanges(record.id, {
			changes, resetTargets: outdated, getTargets: root => outdated.filter(home => listHomes(notified, root).some(other => isSameIncarnation(home, other))),
		});
	};

	const followUpstream = async (record: MemberRecord, state: FollowState) => {
		if (state.position.sequence === undefined) {
			await resetHomesFromSnapshot(record, state);

			return;
		}

		const events = await callUpstream(record, {path: `/v1/cache-events?after=${state.position.sequence}`, schema: cacheEventsSchema});
		const {position, changes} = applyCacheEvents(state.position, events);
		const failedHomes = await sendChanges(record.id, {
			changes, getTargets: root => listHomes(state.notified, root).filter(home => !state.outdated.some(other => isSameIncarnation(home, other))),
		});
		state.outdated = [...state.outdated, ...failedHomes];
		state.position = position;
		const entries = listEntries();

		if (!hasSameEntries(entries, state.notified)) {
			await sendToNewHomes(record, state, entries);
		}

		if (state.outdated.length > 0 && clock.readMonotonicMs() >= state.retryAtMs) {
			await resendToOutdated(record, state);
		}
	};

	const poll = async (record: MemberRecord) => {
		const existing = followed.get(record.id);
		const state = existing?.position.incarnation === record.incarnation
			? existing
			: {
				position: {incarnation: record.incarnation, sequence: undefined}, isBusy: false, notified: [], outdated: [], retryAtMs: 0,
			};
		followed.set(record.id, state);

		if (state.isBusy) {
			return;
		}

		state.isBusy = true;

		try {
			await followUpstream(record, state);
		} catch (error) {
			// Usually the upstream did not answer. The state has advanced only as far as changes were sent; the next poll continues there.
			log.debug('cache events could not be read; the next poll tries again', error);
		} finally {
			state.isBusy = false;
		}
	};

	const timer = setInterval(() => {
		const sponsored = listServing(gossip.getMembership(), RecordKind.Upstream)
			.filter(record => record.sponsorId === name && (record.details as UpstreamDetails).kind !== UpstreamKind.Service);
		const ids = new Set(sponsored.map(record => record.id));

		for (const id of followed.keys()) {
			if (!ids.has(id)) {
				followed.delete(id);
			}
		}

		for (const record of sponsored) {
			void poll(record);
		}
	}, pollIntervalMs);

	return {
		stop() {
			clearInterval(timer);
		},
	};
}

type SendChangesInput = {
	readonly changes: readonly PieceChange[];
	/** Homes that discard all that they have recorded about the upstream first. */
	readonly resetTargets?: readonly MemberRecord[];
	/** Returns the homes that receive the changes of a prompt; `root` is the hash of its first piece. */
	readonly getTargets: (root: string) => readonly MemberRecord[];
};

function groupByHome(changes: readonly PieceChange[], getTargets: SendChangesInput['getTargets']): Map<MemberRecord, PieceChange[]> {
	const byHome = new Map<MemberRecord, PieceChange[]>();

	for (const change of changes) {
		for (const home of getTargets(change.root)) {
			byHome.set(home, [...(byHome.get(home) ?? []), change]);
		}
	}

	return byHome;
}

function isSameIncarnation(a: MemberRecord, b: MemberRecord): boolean {
	return a.id === b.id && a.incarnation === b.incarnation;
}

function hasSameEntries(entries: readonly MemberRecord[], notified: readonly MemberRecord[]): boolean {
	return entries.length === notified.length && entries.every(entry => notified.some(other => isSameIncarnation(entry, other)));
}
