import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {Agent} from 'undici';
import {createSystemClock} from '@fescuestair/core';
import {listHomes, type CacheEvent} from '@fescuestair/kv';
import {
	createMembership, InputKind, MemberStatus, RecordKind, stepMembership, type MemberRecord, type Membership,
} from '@fescuestair/membership';
import {UpstreamKind} from '@fescuestair/protocol';
import {createLogger, type GossipHost} from '@fescuestair/runtime';
import {openHttpListener, sendJson} from '@fescuestair/transport';
import {createCacheFollower} from '../../cache-follower.js';
import {type DistributedPieceDirectory} from '../../distributed-piece-directory.js';

function createEntry(index: number): MemberRecord {
	return {
		id: `entry-${index}`, kind: RecordKind.Entry, incarnation: 1, version: 1, status: MemberStatus.Alive, address: `a-${index}`, availabilityZone: `z-${index}`, details: {},
	};
}

const roots = Array.from({length: 12}, (_, index) => (index + 1).toString(16).padStart(32, '0'));

/** Starts an upstream that serves cache events; each of its pieces is the first of a different prompt. */
async function createUpstream() {
	const events: CacheEvent[] = [];
	const held = new Set<string>();
	let firstSequenceKept = 0;
	const server = http.createServer((request, response) => {
		const {pathname, searchParams} = new URL(request.url!, 'http://upstream');

		if (pathname === '/v1/cache-snapshot') {
			sendJson(response, 200, {sequence: events.length, pieces: [...held].map(hash => ({hash, root: hash}))});
		} else {
			const after = Math.max(firstSequenceKept, Number(searchParams.get('after')));
			sendJson(response, 200, {latestSequence: events.length, events: events.slice(after)});
		}
	});
	const listener = await openHttpListener(server, {host: '127.0.0.1', port: 0});

	return {
		held,
		address: `127.0.0.1:${listener.port}`,
		set(root: string, isHeld: boolean) {
			events.push({
				sequence: events.length + 1, hash: root, root, isHeld,
			});
			held[isHeld ? 'add' : 'delete'](root);
		},
		/** Drops all events so far, so that the follower sees a gap. */
		dropEvents() {
			firstSequenceKept = events.length;
		},
		async close() {
			await listener.close();
		},
	};
}

test('homes record what an upstream holds, also after a gap in its events, and an unreachable home does not affect the others', async t => {
	const upstream = await createUpstream();
	const agent = new Agent();
	const entries = [0, 1, 2].map(index => createEntry(index));
	let membership: Membership = createMembership({self: entries[0]!, nowMs: 0});
	const record: MemberRecord = {
		...createEntry(0), id: 'store-1', kind: RecordKind.Upstream, address: upstream.address, sponsorId: 'entry-0', details: {kind: UpstreamKind.Store},
	};

	for (const one of [entries[1]!, entries[2]!, record]) {
		membership = stepMembership(membership, {kind: InputKind.Publish, record: one}, 0).state;
	}

	const recorded = new Map(entries.map(entry => [entry.id, new Set<string>()]));
	const resets = new Map(entries.map(entry => [entry.id, 0]));
	let unreachableId = '';
	const homes: DistributedPieceDirectory = {
		findPieces: async () => new Map(),
		publishChange: () => undefined,
		async sendUpdate({id}, {isReset, changes}) {
			if (id === unreachableId) {
				throw new Error('unreachable');
			}

			if (isReset) {
				recorded.get(id)!.clear();
				resets.set(id, resets.get(id)! + 1);
			}

			for (const {hashes, isHeld} of changes) {
				recorded.get(id)![isHeld ? 'add' : 'delete'](hashes[0]!);
			}
		},
		recordUse: async () => undefined,
		registerCommands: () => undefined,
	};
	const gossip: GossipHost = {
		receive: () => undefined, publish: () => undefined, publishGauge: () => undefined, publishSelf: () => undefined, getMembership: () => membership, stop: () => undefined,
	};
	const isUpToDate = (entry: MemberRecord) => {
		const expected = roots.filter(root => upstream.held.has(root) && listHomes(entries, root).includes(entry));

		return recorded.get(entry.id)!.size === expected.length && expected.every(root => recorded.get(entry.id)!.has(root));
	};

	const waitUntilUpToDate = async (targets: readonly MemberRecord[]) => {
		while (!targets.every(entry => isUpToDate(entry))) {
			await sleep(20);
		}
	};

	upstream.set(roots[0]!, true);
	const follower = createCacheFollower({
		name: 'entry-0', clock: createSystemClock(), agent, gossip, homes, log: createLogger({instance: 'entry-0', level: 0}),
	});

	try {
		await waitUntilUpToDate(entries);

		for (const root of roots) {
			upstream.set(root, true);
		}

		upstream.set(roots[3]!, false);
		await waitUntilUpToDate(entries);
		t.deepEqual([...resets.values()], [1, 1, 1]);

		unreachableId = 'entry-1';

		for (const root of roots.slice(0, 8)) {
			upstream.set(root, root === roots[3]);
		}

		await waitUntilUpToDate([entries[0]!, entries[2]!]);
		unreachableId = '';
		await waitUntilUpToDate(entries);
		t.deepEqual([...resets.values()], [1, 2, 1], 'only the home that was unreachable is reset');

		upstream.set(roots[0]!, true);
		upstream.dropEvents();
		await waitUntilUpToDate(entries);
		t.deepEqual([...resets.values()], [2, 3, 2], 'after a gap all homes are reset');
	} finally {
		follower.stop();
		await agent.destroy();
		await upstream.close();
	}
});
