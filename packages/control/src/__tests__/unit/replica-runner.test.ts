import fs from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {createSystemClock} from '@fescuestair/core';
import {createFileSystem, createLogStore, type FileSystem} from '@fescuestair/storage';
import {AnswerKind, CommandKind, type Answer} from '@fescuestair/state';
import {createReplicaRunner} from '@fescuestair/replication';
import {createStateHost} from '../../index.js';

const member = {
	id: 'a', name: 'a', address: '127.0.0.1:1', isVoter: true,
};

async function openRunner(folder: string, fileSystem?: FileSystem, onFailure: (error: unknown) => void = () => undefined) {
	const clock = createSystemClock();

	return createReplicaRunner({
		id: 'a', clock, store: createLogStore({folder, fileSystem}), machine: createStateHost(clock), send: () => undefined, onFailure, snapshotEvery: 20,
	});
}

async function makeFolder(): Promise<string> {
	return fs.mkdtemp(path.join(os.tmpdir(), 'fescuestair-control-'));
}

const takeNumber = {kind: CommandKind.TakeFencingNumber, atMs: 0};

test('a stop waits for a snapshot under way, and numbers never repeat after it', async t => {
	const folder = await makeFolder();
	const first = await openRunner(folder);
	await first.changeMembers([member]);
	const answers = await Promise.all(Array.from({length: 100}, async () => first.propose(takeNumber) as Promise<Answer>));
	await first.stop();
	const names = await fs.readdir(folder);
	t.false(names.some(name => name.endsWith('.tmp')));
	const second = await openRunner(folder);

	// It leads again once it has waited out the leases that may run.
	while (!second.canServeReads()) {
		await sleep(10);
	}

	const next = await second.propose(takeNumber) as Answer;
	await second.stop();
	t.true(answers.every(answer => answer.kind === AnswerKind.Done));
	t.deepEqual(next, {kind: AnswerKind.Done, value: 101});
});

test('nothing is acknowledged that could not be synced, and the failure is reported', async t => {
	const folder = await makeFolder();
	let isBroken = false;
	const healthy = createFileSystem();
	const failures: unknown[] = [];
	const runner = await openRunner(folder, createFileSystem({
		async sync(handle) {
			if (isBroken) {
				throw Object.assign(new Error('EIO'), {code: 'EIO'});
			}

			await healthy.sync(handle);
		},
	}), error => {
		failures.push(error);
	});
	await runner.changeMembers([member]);
	isBroken = true;
	await t.throwsAsync(runner.propose(takeNumber));
	t.is(failures.length, 1);
	await runner.stop();
});
