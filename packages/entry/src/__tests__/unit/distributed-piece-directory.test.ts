import test from 'ava';
import {listHomes} from '@fescuestair/kv';
import {
	createMembership, InputKind, MemberStatus, RecordKind, stepMembership, type MemberRecord, type Membership,
} from '@fescuestair/membership';
import {createLinkCommands} from '@fescuestair/protocol';
import {type GossipHost} from '@fescuestair/runtime';
import {type Links} from '@fescuestair/transport';
import {createDistributedPieceDirectory, type DistributedPieceDirectory} from '../../distributed-piece-directory.js';

function createRecord(index: number): MemberRecord {
	return {
		id: `entry-${index}`, kind: RecordKind.Entry, incarnation: 1, version: 1, status: MemberStatus.Alive, address: `address-${index}`,
		availabilityZone: `zone-${index % 2}`, details: {},
	};
}

/** Creates the directories of entries that know each other; messages between them arrive immediately. */
function createEntries(count: number): readonly DistributedPieceDirectory[] {
	const records = Array.from({length: count}, (_, index) => createRecord(index));
	const commands = records.map(() => createLinkCommands({
		onFault(fault) {
			throw new Error(JSON.stringify(fault));
		},
	}));
	const links: Links = {
		send(address, message) {
			commands[Number(address.split('-')[1])]!.dispatch(message, undefined);
		},
		call: async (address, message) => new Promise(resolve => {
			commands[Number(address.split('-')[1])]!.dispatch(message, resolve);
		}),
		countBytes: () => 0,
		countOpen: () => 0,
		close: () => undefined,
	};

	return records.map((self, index) => {
		let membership: Membership = createMembership({self, nowMs: 0});

		for (const record of records.filter(other => other !== self)) {
			membership = stepMembership(membership, {kind: InputKind.Publish, record}, 0).state;
		}

		const gossip: GossipHost = {
			receive: () => undefined, publish: () => undefined, publishGauge: () => undefined, publishSelf: () => undefined, getMembership: () => membership, stop: () => undefined,
		};
		const homes = createDistributedPieceDirectory({
			name: self.id, availabilityZone: self.availabilityZone, gossip, links,
		});
		homes.registerCommands(commands[index]!);

		return homes;
	});
}

const createHashes = (name: string) => Array.from({length: 6}, (_, index) => `${name}/${index}`);

test('a change published by any entry is visible to every entry, even if it covers only the later pieces of a prompt', async t => {
	const entries = createEntries(5);

	for (let number = 0; number < 20; number++) {
		const hashes = createHashes(`prompt-${number}`);
		const root = hashes[0]!;
		entries[number % 5]!.publishChange('store-1', {root, hashes, isHeld: true});
		entries[(number + 1) % 5]!.publishChange('store-1', {root, hashes: hashes.slice(4), isHeld: false});

		for (const homes of entries) {
			const held = await homes.findPieces(hashes);
			t.is(held.get('store-1'), 4);
		}
	}
});

test('a reset at a home discards the records of one upstream only, and uses of a prompt are counted', async t => {
	const entries = createEntries(1);
	const hashes = createHashes('a');
	const change = {root: hashes[0]!, hashes, isHeld: true};
	entries[0]!.publishChange('store-1', change);
	entries[0]!.publishChange('store-2', change);
	const [home] = listHomes([createRecord(0)], hashes[0]!);
	await entries[0]!.sendUpdate(home!, {upstreamId: 'store-1', isReset: true, changes: [{...change, hashes: hashes.slice(0, 2)}]});
	const held = await entries[0]!.findPieces(hashes);
	t.deepEqual([held.get('store-1'), held.get('store-2')], [2, 6]);
	const first = await entries[0]!.recordUse('a/0');
	const second = await entries[0]!.recordUse('a/0');
	t.deepEqual([first?.timesSeen, second?.timesSeen, second?.returns], [0, 1, {seenOnce: 1, returned: 1}]);
});
