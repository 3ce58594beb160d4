import fs from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import test from 'ava';
import {createId} from '@fescuestair/core';
import {
	describeRequest, RequestEventKind, RequestOutcome, ExecutionStatus, type RequestEvent,
} from '@fescuestair/protocol';
import {createRequestEventStore} from '../../index.js';

const startMs = 1_796_000_000_000;

function createEvents(requestId: string): RequestEvent[] {
	return [
		{
			kind: RequestEventKind.Started, requestId, atMs: startMs, organisation: 'okahandja', requestClass: 'short', target: 'assistant', entryId: 'entry-1',
			entryIncarnation: 4, promptTokens: 9, preset: 'ordinary',
		},
		{
			kind: RequestEventKind.Dispatched, requestId, atMs: startMs + 5, attempt: 1, upstreamId: 'engine-1',
		},
	];
}

async function openStore(folder: string) {
	return createRequestEventStore({
		folder,
		readWallMs: () => startMs,
		onError(error) {
			throw error as Error;
		},
	});
}

test('events of a request are found after a restart', async t => {
	const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'fescuestair-fates-'));
	const store = await openStore(folder);
	const requestId = createId('r', startMs);
	store.append(createEvents(requestId));
	store.append(createEvents(createId('r', startMs)));
	await store.close();
	const reopened = await openStore(folder);
	t.deepEqual(await reopened.findEvents(requestId), createEvents(requestId));
	t.deepEqual(await reopened.findEvents(createId('r', startMs)), []);
	t.deepEqual(await reopened.findEvents('nonsense'), []);
	await reopened.close();
});

test('a torn last batch does not hide the batches before it', async t => {
	const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'fescuestair-fates-'));
	const store = await openStore(folder);
	const requestId = createId('r', startMs);
	store.append(createEvents(requestId));
	await store.close();
	const [name] = await fs.readdir(folder);
	await fs.appendFile(path.join(folder, name!), new Uint8Array([200, 0, 0, 0, 1, 2]));
	const reopened = await openStore(folder);
	const found = await reopened.findEvents(requestId);
	t.is(found.length, 2);
	await reopened.close();
});

test('a request is reported as lost when its entry daemon died, and as running while its entry daemon serves it', t => {
	const events = createEvents('r-1');
	t.is(describeRequest(events, () => false)?.outcome, RequestOutcome.EntryLost);
	t.is(describeRequest(events, () => false)?.ran, ExecutionStatus.Unknown);
	t.is(describeRequest([...events, ...events], (entryId, incarnation) => entryId === 'entry-1' && incarnation === 4)?.outcome, RequestOutcome.Running);
	t.is(describeRequest(events, () => true)?.events.length, 2);
	t.is(describeRequest([], () => true), undefined);
});
