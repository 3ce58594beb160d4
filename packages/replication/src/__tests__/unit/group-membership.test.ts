import fs from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {createManualClock} from '@fescuestair/core';
import {LinkMessageKind} from '@fescuestair/protocol';
import {createLogger} from '@fescuestair/runtime';
import {createSimulatedDisk, type SimulatedDisk} from '@fescuestair/storage';
import {
	createGroupMembership, loadIdentity, saveIdentity, type Invitation,
} from '../../index.js';

test('a replica saves only the group of the first message, also when others arrive while it is being saved', async t => {
	const dataFolder = await fs.mkdtemp(path.join(os.tmpdir(), 'fescuestair-group-'));

	try {
		const log = createLogger({instance: 'control-2', level: 0});
		const group = await createGroupMembership({
			dataFolder, name: 'control-2', clock: createManualClock(), log,
		});
		const {id} = group.getIdentity();

		for (const groupId of ['g-1', 'g-1', 'g-2', 'g-1']) {
			group.accept({
				kind: LinkMessageKind.Agreement, groupId, fromId: 'control-1.a', fromAddress: '127.0.0.1:1', toId: id, message: undefined,
			});
		}

		await group.join('g-3');
		t.deepEqual(await loadIdentity(dataFolder, 'control-2'), {id, groupId: 'g-1'});
		t.is(group.getIdentity().groupId, 'g-1');
	} finally {
		await fs.rm(dataFolder, {recursive: true});
	}
});

test('a replica whose disk was lost does not take the identity that it had, although the first start is still set', async t => {
	const dataFolder = await fs.mkdtemp(path.join(os.tmpdir(), 'fescuestair-group-'));

	try {
		const log = createLogger({instance: 'core-1', level: 0});
		const firstGroup = {ownAddress: '127.0.0.1:1', addresses: ['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3']};
		const open = async () => createGroupMembership({
			dataFolder, name: 'core-1', clock: createManualClock(), log, firstGroup,
		});
		const before = await open();
		const restarted = await open();
		t.is(restarted.getIdentity().id, before.getIdentity().id);
		await fs.rm(dataFolder, {recursive: true});
		await fs.mkdir(dataFolder);
		const wiped = await open();
		t.not(wiped.getIdentity().id, before.getIdentity().id);
		t.is(wiped.getIdentity().groupId, undefined, 'it may not vote in a group before it knows whether one exists');
	} finally {
		await fs.rm(dataFolder, {recursive: true});
	}
});

// Its log, which was synced, would else be that of another replica.
test('an identity that a replica loads after it was killed is not lost with the power', async t => {
	for (let killAt = 1; killAt <= 12; killAt++) {
		const disk = createSimulatedDisk();
		let operationCount = 0;
		const killed = disk.startProcess(async () => {
			operationCount++;

			if (operationCount === killAt) {
				killed.kill();
			}
		});
		const first = loadIdentity('/data', 'core-1', {fileSystem: killed.fileSystem});
		await Promise.race([first, sleep(1)]);
		const second = disk.startProcess();
		const identity = await loadIdentity('/data', 'core-1', {fileSystem: second.fileSystem});
		second.kill();
		killed.kill();
		disk.losePower(() => 0);
		t.deepEqual(await loadIdentity('/data', 'core-1', {fileSystem: disk.startProcess().fileSystem}), identity, `killed at operation ${killAt}`);
	}
});

test('an identity that an earlier build derived from the address stays, and never counts as one without a group', async t => {
	const disk = createSimulatedDisk();
	const {fileSystem} = disk.startProcess();
	const firstMembers = [{
		id: 'first-127.0.0.1:1', name: '127.0.0.1:1', address: '127.0.0.1:1', isVoter: true,
	}];
	const stored = {id: 'first-127.0.0.1:1', groupId: 'first-127.0.0.1:1', firstMembers};
	await saveIdentity('/data', stored, fileSystem);
	const group = await createGroupMembership({
		dataFolder: '/data', name: 'core-1', clock: createManualClock(), log: createLogger({instance: 'core-1', level: 0}), fileSystem,
		firstGroup: {ownAddress: '127.0.0.1:1', addresses: ['127.0.0.1:1']},
	});
	t.deepEqual(group.getIdentity(), stored);
	t.is(group.describeFounding(true), undefined);
	const invited: string[] = [];
	t.is(await group.advanceFounding(true, address => invited.push(address)), undefined);
	t.deepEqual(invited, []);
	await group.acceptInvitation({toId: stored.id, groupId: 'g', previousGroupId: stored.groupId}, true);
	t.deepEqual(group.getIdentity(), stored);
});

// A first member that forgot its promise could make another one, and take part in two groups.
test('what a first member promised, or a founder chose, is not lost with the power', async t => {
	const addresses = ['127.0.0.1:1', '127.0.0.1:2'];
	const log = createLogger({instance: 'core', level: 0});
	const openMember = async (disk: SimulatedDisk, ownAddress: string) => {
		const process = disk.startProcess();
		const group = await createGroupMembership({
			dataFolder: '/data', name: ownAddress, clock: createManualClock(), log, firstGroup: {ownAddress, addresses}, fileSystem: process.fileSystem,
		});

		return {group, process};
	};

	const [founderDisk, otherDisk] = [createSimulatedDisk(), createSimulatedDisk()];
	const founder = await openMember(founderDisk, addresses[0]!);
	const other = await openMember(otherDisk, addresses[1]!);
	const report = () => {
		founder.group.recordCandidate({
			kind: LinkMessageKind.Join, id: other.group.getIdentity().id, name: 'core', address: addresses[1]!, founding: other.group.describeFounding(true),
		});
	};

	report();
	await founder.group.advanceFounding(true, () => undefined);
	const {groupId} = founder.group.getIdentity();
	t.truthy(groupId);
	const invitations: Invitation[] = [];
	await founder.group.advanceFounding(true, (_address, invitation) => invitations.push(invitation));
	await other.group.acceptInvitation(invitations[0]!, true);
	report();
	const members = await founder.group.advanceFounding(true, () => undefined);
	t.is(members?.length, 2);

	for (const [disk, {group, process}, address] of [[founderDisk, founder, addresses[0]!], [otherDisk, other, addresses[1]!]] as const) {
		process.kill();
		disk.losePower(() => 0);
		const restarted = await openMember(disk, address);
		t.deepEqual(restarted.group.getIdentity(), group.getIdentity());
		t.is(restarted.group.getIdentity().groupId, groupId);
	}
});
