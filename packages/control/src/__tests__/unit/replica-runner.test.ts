import fs from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {createSystemClock} from '@fescuestair/core';
import {createFileSystem, createLogStore, type FileSystem} from '@fescuestair/storage';
import {CommandResponseKind, CommandKind, type CommandResponse} from '@fescuestair/state';
import {createReplicaRunner} from '@fescuestair/replication';
import {createStateMachine} from '../../index.js';

const member = {
	id: 'a', name: 'a', address: '127.0.0.1:1', isVoter: true,
};

async function openRunner(folder: string, fileSystem?: FileSystem, onFailure: (error: unknown) => void = () => undefined) {
	const clock = createSystemClock();

	return createReplicaRunner({
		id: 'a', clock, store: createLogStore({folder, fileSystem}), machine: createStateMachine(clock), send: () => undefined, onFailure, snapshotIntervalEntries: 20,
	});
}

async function makeFolder(): Promise<string> {
	return fs.mkdtemp(path.join(os.tmpdir(), 'fescuestair-control-'));
}

const takeFencingNumber = {kind: CommandKind.IssueFencingToken, atMs: 0};

test('stop waits for a snapshot in progress, and fencing tokens do not repeat after a restart', async t => {
	const folder = await makeFolder();
	const first = await openRunner(folder);
	await first.changeMembers([member]);
	const answers = await Promise.all(Array.from({length: 100}, async () => first.propose(takeFencingNumber) as Promise<CommandResponse>));
	await first.stop();
	const names = await fs.readdir(folder);
	t.false(names.some(name => name.endsWith('.tmp')));
	const second = await openRunner(folder);

	// It leads again only after every lease that may have been granted before the restart has expired.
	while (!second.canServeReads()) {
		await sleep(10);
	}

	const next = await second.propose(takeFencingNumber) as CommandResponse;
	await second.stop();
	t.true(answers.every(answer => answer.kind === CommandResponseKind.Done));
	t.deepEqual(next, {kind: CommandResponseKind.Done, value: 101});
});

test('a proposal whose sync fails is rejected, and the failure is reported', async t => {
	const folder = await makeFolder();
	let isSyncFailing = false;
	const workingFileSystem = createFileSystem();
	const failures: unknown[] = [];
	const runner = await openRunner(folder, createFileSystem({
		async sync(handle) {
			if (isSyncFailing) {
				throw Object.assign(new Error('EIO'), {code: 'EIO'});
			}

			await workingFileSystem.sync(handle);
		},
	}), error => {
		failures.push(error);
	});
	await runner.changeMembers([member]);
	isSyncFailing = true;
	await t.throwsAsync(runner.propose(takeFencingNumber));
	t.is(failures.length, 1);
	await runner.stop();
});
