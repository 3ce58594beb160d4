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
import {callKv, type KvQuestion} from './kv-client.js';
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

type Followed = {
	position: EventPosition;
	isBusy: boolean;
	/** The entries that were told so far. */
	told: readonly MemberRecord[];
	/** Those of them that missed something. */
	lacking: readonly MemberRecord[];
	/** When they are told again. */
	retryAtMs: number;
};

const pollMs = 200;
const askTimeoutMs = 1000;
const retryMs = 1000;
/** A home that takes all beliefs about an upstream gets them in notes of this many changes. */
const changesPerNote = 500;

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
	const followed = new Map<string, Followed>();
	const listEntries = () => listServing(gossip.getMembership(), RecordKind.Entry);

	const ask = async <Answer>({address}: MemberRecord, question: KvQuestion<Answer>) => callKv({agent, address, timeoutMs: askTimeoutMs}, question);

	/** Tells homes, each on its own; gives back those that did not take it. */
	const tell = async (upstreamId: string, {changes, resetTargets = [], getTargets}: TellInput): Promise<readonly MemberRecord[]> => {
		const byHome = groupByHome(changes, getTargets);
		const targets = new Map([...byHome.keys(), ...resetTargets].map(home => [home.id, home]));
		const missed: MemberRecord[] = [];

		await Promise.all([...targets.values()].map(async home => {
			const own = byHome.get(home) ?? [];
			const isReset = resetTargets.includes(home);

			try {
				for (let start = 0; start < Math.max(1, own.length); start += changesPerNote) {
					await homes.noteAt(home, {upstreamId, isReset: isReset && start === 0, changes: own.slice(start, start + changesPerNote)});
				}
			} catch (error) {
				missed.push(home);
				log.debug('a home took no note', {home: home.id}, error);
			}
		}));

		return missed;
	};

	const readSnapshot = async (record: MemberRecord) => ask(record, {path: '/v1/cache-snapshot', schema: cacheSnapshotSchema});

	const startAnew = async (record: MemberRecord, state: Followed) => {
		const entries = listEntries();
		const {position, changes} = takeSnapshot(state.position, await readSnapshot(record));
		state.lacking = await tell(record.id, {changes, resetTargets: entries, getTargets: root => listHomes(entries, root)});
		state.position = position;
		state.told = entries;
	};

	// A new home knows nothing; the others need not hear all again.
	const tellNewHomes = async (record: MemberRecord, state: Followed, entries: readonly MemberRecord[]) => {
		const {changes} = takeSnapshot(state.position, await readSnapshot(record));
		const missed = await tell(record.id, {
			changes, getTargets: root => listHomes(entries, root).filter(home => !listHomes(state.told, root).some(other => isSameLife(home, other))),
		});
		state.told = entries;
		state.lacking = [...state.lacking, ...missed].filter(home => entries.some(entry => isSameLife(entry, home)));
	};

	// A home that missed a note gets all that it should know; the rest go on meanwhile.
	const tellLacking = async (record: MemberRecord, state: Followed) => {
		const {lacking, told} = state;
		const {changes} = takeSnapshot(state.position, await readSnapshot(record));
		state.retryAtMs = clock.readMonotonicMs() + retryMs;
		state.lacking = await tell(record.id, {
			changes, resetTargets: lacking, getTargets: root => lacking.filter(home => listHomes(told, root).some(other => isSameLife(home, other))),
		});
	};

	const followOne = async (record: MemberRecord, state: Followed) => {
		if (state.position.sequence === undefined) {
			await startAnew(record, state);

			return;
		}

		const events = await ask(record, {path: `/v1/cache-events?after=${state.position.sequence}`, schema: cacheEventsSchema});
		const {position, changes} = takeEvents(state.position, events);
		const missed = await tell(record.id, {
			changes, getTargets: root => listHomes(state.told, root).filter(home => !state.lacking.some(other => isSameLife(home, other))),
		});
		state.lacking = [...state.lacking, ...missed];
		state.position = position;
		const entries = listEntries();

		if (!isSameSet(entries, state.told)) {
			await tellNewHomes(record, state, entries);
		}

		if (state.lacking.length > 0 && clock.readMonotonicMs() >= state.retryAtMs) {
			await tellLacking(record, state);
		}
	};

	const poll = async (record: MemberRecord) => {
		const known = followed.get(record.id);
		const state = known?.position.incarnation === record.incarnation
			? known
			: {
				position: {incarnation: record.incarnation, sequence: undefined}, isBusy: false, told: [], lacking: [], retryAtMs: 0,
			};
		followed.set(record.id, state);

		if (state.isBusy) {
			return;
		}

		state.isBusy = true;

		try {
			await followOne(record, state);
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

type TellInput = {
	readonly changes: readonly PieceChange[];
	/** Homes whose beliefs about the upstream are void. */
	readonly resetTargets?: readonly MemberRecord[];
	readonly getTargets: (root: string) => readonly MemberRecord[];
};

function groupByHome(changes: readonly PieceChange[], getTargets: TellInput['getTargets']): Map<MemberRecord, PieceChange[]> {
	const byHome = new Map<MemberRecord, PieceChange[]>();

	for (const change of changes) {
		for (const home of getTargets(change.root)) {
			byHome.set(home, [...(byHome.get(home) ?? []), change]);
		}
	}

	return byHome;
}

function isSameLife(a: MemberRecord, b: MemberRecord): boolean {
	return a.id === b.id && a.incarnation === b.incarnation;
}

function isSameSet(entries: readonly MemberRecord[], told: readonly MemberRecord[]): boolean {
	return entries.length === told.length && entries.every(entry => told.some(other => isSameLife(entry, other)));
}
