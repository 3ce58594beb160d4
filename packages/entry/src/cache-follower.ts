import {
	cacheEventsSchema, cacheSnapshotSchema, listHomes, takeEvents, takeSnapshot, type EventPosition, type PieceChange,
} from '@fescuestair/kv';
import {
	listServing, RecordKind, type MemberRecord,
} from '@fescuestair/membership';
import {type Clock} from '@fescuestair/core';
import {UpstreamKind, type UpstreamDetails} from '@fescuestair/protocol';
import {type GossipHost, type Log} from '@fescuestair/runtime';
import {type Agent} from 'undici';
import {callKv, type KvRequest} from './kv-client.js';
import {type PieceHomes} from './piece-homes.js';

export type CacheFollowerOptions = {
	/** Name of this entry. */
	readonly name: string;
	readonly clock: Clock;
	readonly agent: Agent;
	readonly gossip: GossipHost;
	readonly homes: PieceHomes;
	readonly log: Log;
};

/** Follows the cache events of the engines and stores that this entry sponsors. */
export type CacheFollower = {
	readonly stop: () => void;
};

type FollowState = {
	position: EventPosition;
	isBusy: boolean;
	/** The entries that were told so far. */
	notified: readonly MemberRecord[];
	/** Those of them that missed something. */
	outdated: readonly MemberRecord[];
	/** When they are told again. */
	retryAtMs: number;
};

const pollMs = 200;
const requestTimeoutMs = 1000;
const retryMs = 1000;
/** A home that takes all beliefs about an upstream gets them in notes of this many changes. */
const maxChangesPerUpdate = 500;

/**
Creates the follower of an entry. After a gap in the events or a restart of the upstream, a snapshot is read and all
homes begin anew; a home that is new, or that missed a note, gets what it lacks.

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

	const callUpstream = async <Answer>({address}: MemberRecord, question: KvRequest<Answer>) => callKv({agent, address, timeoutMs: requestTimeoutMs}, question);

	/** Tells homes, each on its own; gives back those that did not take it. */
	const sendChanges = async (upstreamId: string, {changes, resetTargets = [], getTargets}: SendChangesInput): Promise<readonly MemberRecord[]> => {
		const byHome = groupByHome(changes, getTargets);
		const targets = new Map([...byHome.keys(), ...resetTargets].map(home => [home.id, home]));
		const failed: MemberRecord[] = [];

		await Promise.all([...targets.values()].map(async home => {
			const own = byHome.get(home) ?? [];
			const isReset = resetTargets.includes(home);

			try {
				for (let start = 0; start < Math.max(1, own.length); start += maxChangesPerUpdate) {
					await homes.sendUpdate(home, {upstreamId, isReset: isReset && start === 0, changes: own.slice(start, start + maxChangesPerUpdate)});
				}
			} catch (error) {
				failed.push(home);
				log.debug('a home took no note', {home: home.id}, error);
			}
		}));

		return failed;
	};

	const readSnapshot = async (record: MemberRecord) => callUpstream(record, {path: '/v1/cache-snapshot', schema: cacheSnapshotSchema});

	const synchronizeFromSnapshot = async (record: MemberRecord, state: FollowState) => {
		const entries = listEntries();
		const {position, changes} = takeSnapshot(state.position, await readSnapshot(record));
		state.outdated = await sendChanges(record.id, {changes, resetTargets: entries, getTargets: root => listHomes(entries, root)});
		state.position = position;
		state.notified = entries;
	};

	// A new home knows nothing; the others need not hear all again.
	const sendToNewHomes = async (record: MemberRecord, state: FollowState, entries: readonly MemberRecord[]) => {
		const {changes} = takeSnapshot(state.position, await readSnapshot(record));
		const missed = await sendChanges(record.id, {
			changes, getTargets: root => listHomes(entries, root).filter(home => !listHomes(state.notified, root).some(other => isSameIncarnation(home, other))),
		});
		state.notified = entries;
		state.outdated = [...state.outdated, ...missed].filter(home => entries.some(entry => isSameIncarnation(entry, home)));
	};

	// A home that missed a note gets all that it should know; the rest go on meanwhile.
	const resendToOutdated = async (record: MemberRecord, state: FollowState) => {
		const {outdated, notified} = state;
		const {changes} = takeSnapshot(state.position, await readSnapshot(record));
		state.retryAtMs = clock.readMonotonicMs() + retryMs;
		state.outdated = await sendChanges(record.id, {
			changes, resetTargets: outdated, getTargets: root => outdated.filter(home => listHomes(notified, root).some(other => isSameIncarnation(home, other))),
		});
	};

	const followUpstream = async (record: MemberRecord, state: FollowState) => {
		if (state.position.sequence === undefined) {
			await synchronizeFromSnapshot(record, state);

			return;
		}

		const events = await callUpstream(record, {path: `/v1/cache-events?after=${state.position.sequence}`, schema: cacheEventsSchema});
		const {position, changes} = takeEvents(state.position, events);
		const missed = await sendChanges(record.id, {
			changes, getTargets: root => listHomes(state.notified, root).filter(home => !state.outdated.some(other => isSameIncarnation(home, other))),
		});
		state.outdated = [...state.outdated, ...missed];
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
		const known = followed.get(record.id);
		const state = known?.position.incarnation === record.incarnation
			? known
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
			// The upstream did not answer; it goes on from the same place.
			log.debug('cache events were not followed', error);
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
	}, pollMs);

	return {
		stop() {
			clearInterval(timer);
		},
	};
}

type SendChangesInput = {
	readonly changes: readonly PieceChange[];
	/** Homes whose beliefs about the upstream are void. */
	readonly resetTargets?: readonly MemberRecord[];
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

function hasSameEntries(entries: readonly MemberRecord[], told: readonly MemberRecord[]): boolean {
	return entries.length === told.length && entries.every(entry => told.some(other => isSameIncarnation(entry, other)));
}
