import {
	cacheEventsSchema, cacheSnapshotSchema, listHomes, takeEvents, takeSnapshot, type EventPosition, type PieceChange,
} from '@fescuestair/kv';
import {
	listServing, RecordKind, type MemberRecord,
} from '@fescuestair/membership';
import {UpstreamKind, type UpstreamDetails} from '@fescuestair/protocol';
import {type GossipHost, type Log} from '@fescuestair/runtime';
import {type Agent} from 'undici';
import {callKv, type KvQuestion} from './kv-client.js';
import {type PieceHomes} from './piece-homes.js';

export type CacheFollowerOptions = {
	/** Name of this entry. */
	readonly name: string;
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
};

const pollMs = 200;
const askTimeoutMs = 1000;
/** A home that takes all beliefs about an upstream gets them in notes of this many changes. */
const changesPerNote = 500;

/**
Creates the follower of an entry. After a gap in the events, a restart of the upstream or a note that was not taken, a
snapshot is read and all homes begin anew; an entry that became a home gets what it lacks.

@example
```
const follower = createCacheFollower({name, agent, gossip, homes, log});
follower.stop();
```
*/
export function createCacheFollower({name, agent, gossip, homes, log}: CacheFollowerOptions): CacheFollower {
	const followed = new Map<string, Followed>();
	const listEntries = () => listServing(gossip.getMembership(), RecordKind.Entry);

	const ask = async <Answer>({address}: MemberRecord, question: KvQuestion<Answer>) => callKv({agent, address, timeoutMs: askTimeoutMs}, question);

	const tell = async (upstreamId: string, {changes, isReset, getTargets}: TellInput) => {
		const byHome = groupByHome(changes, getTargets);
		// A reset concerns those that get no changes as well.
		const targets = new Map([...byHome.keys(), ...(isReset ? listEntries() : [])].map(home => [home.id, home]));

		await Promise.all([...targets.values()].map(async home => {
			const own = byHome.get(home) ?? [];

			for (let start = 0; start < Math.max(1, own.length); start += changesPerNote) {
				await homes.noteAt(home, {upstreamId, isReset: isReset && start === 0, changes: own.slice(start, start + changesPerNote)});
			}
		}));
	};

	const readSnapshot = async (record: MemberRecord) => ask(record, {path: '/v1/cache-snapshot', schema: cacheSnapshotSchema});

	const startAnew = async (record: MemberRecord, state: Followed) => {
		const entries = listEntries();
		const {position, changes} = takeSnapshot(state.position, await readSnapshot(record));
		await tell(record.id, {changes, isReset: true, getTargets: root => listHomes(entries, root)});
		state.position = position;
		state.told = entries;
	};

	// A new home knows nothing; the others need not hear all again.
	const tellNewHomes = async (record: MemberRecord, state: Followed) => {
		const entries = listEntries();
		const {changes} = takeSnapshot(state.position, await readSnapshot(record));
		await tell(record.id, {
			changes, isReset: false, getTargets: root => listHomes(entries, root).filter(home => !listHomes(state.told, root).some(other => isSameLife(home, other))),
		});
		state.told = entries;
	};

	const followOne = async (record: MemberRecord, state: Followed) => {
		if (state.position.sequence === undefined) {
			await startAnew(record, state);

			return;
		}

		const events = await ask(record, {path: `/v1/cache-events?after=${state.position.sequence}`, schema: cacheEventsSchema});
		const {position, changes} = takeEvents(state.position, events);
		await tell(record.id, {changes, isReset: false, getTargets: root => listHomes(state.told, root)});
		state.position = position;

		if (!isSameSet(listEntries(), state.told)) {
			await tellNewHomes(record, state);
		}
	};

	const poll = async (record: MemberRecord) => {
		const known = followed.get(record.id);
		const state = known?.position.incarnation === record.incarnation
			? known
			: {position: {incarnation: record.incarnation, sequence: undefined}, isBusy: false, told: []};
		followed.set(record.id, state);

		if (state.isBusy) {
			return;
		}

		state.isBusy = true;

		try {
			await followOne(record, state);
		} catch (error) {
			// What was told may have been lost: all is told again.
			state.position = {...state.position, sequence: undefined};
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
	readonly isReset: boolean;
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
