import test from 'ava';
import {request} from 'undici';
import {FateEventKind, type Fate, type FateEvent} from '@fescuestair/protocol';
import {type System} from '../../index.js';
import {
	call, createPromptBody, expectAnswer, joinStream, traceRequest, waitFor, withSystem,
} from './calls.js';

const pieces = 10;
const tokens = 5;
/** Room for one prompt and a half, so that the next pushes it out. */
const engineFlags = ['--cache-pieces', '15', '--prefill-rate', '100000', '--decode-ms', '5'];
const charactersPerPiece = 4000;

function createHistory(name: string): string {
	return `${name} `.repeat(Math.ceil((pieces + 0.5) * charactersPerPiece / (name.length + 1)));
}

/** Asks and gives back the fate, once the answer has been found right. */
async function askRight(system: System, content: string, key = system.organisationKey): Promise<Fate> {
	const answer = await call(`http://${system.entries[0]!.address}/v1/chat/completions`, {method: 'POST', key, body: createPromptBody(content, tokens)});

	if (joinStream(answer.text) !== expectAnswer(content, tokens)) {
		throw new Error(`status ${answer.status}, wrong answer: ${joinStream(answer.text).slice(0, 100)}`);
	}

	return traceRequest(system, answer.requestId);
}

function findEvent<Kind extends FateEventKind>(fate: Fate, kind: Kind): Extract<FateEvent, {kind: Kind}> | undefined {
	return fate.events.find((event): event is Extract<FateEvent, {kind: Kind}> => event.kind === kind);
}

async function waitForExport(system: System, {requestId}: Fate): Promise<void> {
	await waitFor(async () => findEvent(await traceRequest(system, requestId), FateEventKind.Exported)?.kept === pieces);
}

async function countPrefilled(system: System): Promise<number> {
	const response = await request(`http://${system.engines[0]!.address}/v1/stats`);
	const stats = await response.body.json() as {readonly prefilledTokens: number};

	return stats.prefilledTokens;
}

type Return = {readonly fate: Fate; readonly prefilled: number};

/** Lets other prompts push one out of the engine and asks for it again, until the entry has learnt that it is gone. */
async function askUntilFetched(system: System, content: string): Promise<Return> {
	for (let turn = 1; ; turn++) {
		await askRight(system, createHistory(`push ${turn}`));
		const before = await countPrefilled(system);
		const fate = await askRight(system, content);

		if (findEvent(fate, FateEventKind.Fetched) !== undefined) {
			return {fate, prefilled: await countPrefilled(system) - before};
		}
	}
}

test.serial('a long prompt that returns after its engine forgot it is fetched and not computed again, for its organisation only', async t => {
	await withSystem({stores: 2, engineFlags}, async system => {
		const history = createHistory('rickshaw N 123 W');
		await waitForExport(system, await askRight(system, history));
		const {fate, prefilled} = await askUntilFetched(system, history);
		const fetched = findEvent(fate, FateEventKind.Fetched)!;
		t.deepEqual([fetched.wanted, fetched.used, fetched.detail], [pieces, pieces, '']);
		t.true(prefilled < 1000, `${prefilled} tokens computed`);
		const before = await countPrefilled(system);
		const foreign = await askRight(system, history, system.otherOrganisationKey);
		t.is(findEvent(foreign, FateEventKind.Fetched), undefined);
		t.true(await countPrefilled(system) - before > pieces * 1000, 'another organisation computes all itself');
	});
});

for (const [fault, detail] of [['freed', /other_generation/v], ['torn', /other_length/v], ['flipped', /other_digest/v]] as const) {
	test.serial(`a block that was ${fault} while it was read is not used, and the answer is right`, async t => {
		await withSystem({stores: 1, engineFlags, storeFlags: ['--fault', fault]}, async system => {
			const history = createHistory('the whole novel');
			await waitForExport(system, await askRight(system, history));
			const {fate, prefilled} = await askUntilFetched(system, history);
			const fetched = findEvent(fate, FateEventKind.Fetched)!;
			t.is(fetched.used, 0);
			t.regex(fetched.detail, detail);
			t.true(prefilled > pieces * 1000);
		});
	});
}

for (const [description, transfer] of [['write', 4], ['read', pieces + 4]] as const) {
	test.serial(`a store that dies in the middle of a ${description} costs a computation and never an answer`, async t => {
		await withSystem({stores: 1, engineFlags, storeFlags: ['--die-at-transfer', String(transfer)]}, async system => {
			const history = createHistory('complete works');
			const first = await askRight(system, history);
			const isRead = transfer > pieces;

			if (isRead) {
				await waitForExport(system, first);
			}

			const returned = isRead ? await askUntilFetched(system, history) : undefined;
			const used = returned === undefined ? 0 : findEvent(returned.fate, FateEventKind.Fetched)!.used;
			t.true(used < pieces);
			await waitFor(async () => !system.stores[0]!.process.isRunning());
			const fate = await askRight(system, history);
			t.is(fate.summary, 'complete, status 200');
			await system.startStore(0, []);
			await waitFor(async () => isKeptAnew(system, await askRight(system, createHistory('another book'))));
		});
	});
}

/** Whether a store that is back takes prompts again. */
async function isKeptAnew(system: System, fate: Fate): Promise<boolean> {
	const later = await traceRequest(system, fate.requestId);

	return findEvent(fate, FateEventKind.Fetched) !== undefined || findEvent(later, FateEventKind.Exported)?.kept === pieces;
}

test.serial('what a store moved to its disk outlasts its death, and what was in memory is not taken for held', async t => {
	const storeFlags = ['--memory-pieces', String(pieces)];
	await withSystem({stores: 1, engineFlags, storeFlags}, async system => {
		const onDisk = createHistory('service history');
		const inMemory = createHistory('owner letters');
		await waitForExport(system, await askRight(system, onDisk));
		await waitForExport(system, await askRight(system, inMemory));
		system.stores[0]!.process.kill('SIGKILL');
		await system.stores[0]!.process.waitForExit();
		await system.startStore(0, storeFlags);
		const {fate} = await askUntilFetched(system, onDisk);
		const fetched = findEvent(fate, FateEventKind.Fetched)!;
		t.is(fetched.used, pieces, `fetched in part: ${fetched.detail}`);
		const lost = await askRight(system, inMemory);
		t.is(findEvent(lost, FateEventKind.Fetched)?.used ?? 0, 0);
	});
});
