import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {request} from 'undici';
import {RequestEventKind} from '@fescuestair/protocol';
import {type System} from '../../index.js';
import {
	createPromptBody, createExpectedText, joinStreamedText, sendPrompt, sendRequest, traceRequest, waitUntil, withSystem,
} from './test-helpers.js';

/** Longer than the time after which an upstream counts as silent. */
const shortSilenceMs = 3500;
/** Longer than that time for a run and then for the connection that resumes it. */
const longSilenceMs = 9000;
const tokens = 150;
const engineFlags = ['--decode-ms', '20', '--slots', '64'];

async function startSilence(upstreams: ReadonlyArray<{readonly address: string}>, forMs: number): Promise<void> {
	await Promise.all(upstreams.map(async ({address}) => sendRequest(`http://${address}/v1/silence?forMs=${forMs}`, {method: 'POST'})));
}

/** What a caller got of a streamed answer. */
type Answer = {readonly content: string; requestId: string; status: number; text: string; isEnded: boolean; isBrokenOff: boolean};

/** Asks for streamed answers at one entry; the answers grow as they arrive. */
function startAnswers(system: System, count: number, name: string): readonly Answer[] {
	return Array.from({length: count}, (_, index) => {
		const answer: Answer = {
			content: `${name} ${index}`, requestId: '', status: 0, text: '', isEnded: false, isBrokenOff: false,
		};
		void readAnswer(system, answer);

		return answer;
	});
}

async function readAnswer(system: System, answer: Answer): Promise<void> {
	try {
		const response = await request(`http://${system.entries[0]!.address}/v1/chat/completions`, {
			method: 'POST',
			headers: {authorization: `Bearer ${system.organisationKey}`, 'content-type': 'application/json'},
			body: JSON.stringify(createPromptBody(answer.content, tokens)),
		});
		answer.status = response.statusCode;
		answer.requestId = String(response.headers['x-request-id']);

		for await (const chunk of response.body) {
			answer.text += String(chunk);
		}
	} catch {
		answer.isBrokenOff = true;
	} finally {
		answer.isEnded = true;
	}
}

const countWords = ({text}: Answer) => joinStreamedText(text).split(' ').length;

async function waitUntilBegun(answers: readonly Answer[]): Promise<void> {
	await waitUntil(async () => answers.every(answer => answer.isEnded || countWords(answer) > 5));
}

/** Waits for the ends of answers and lists those that are not whole, or whose tokens are not those expected, each once. */
async function listFaults(answers: readonly Answer[]): Promise<readonly string[]> {
	await waitUntil(async () => answers.every(answer => answer.isEnded));

	return answers.flatMap(answer => {
		const {content, status, text, isBrokenOff, requestId} = answer;
		const isWhole = status === 200 && !isBrokenOff && text.endsWith('data: [DONE]\n\n');
		const isExact = joinStreamedText(text) === createExpectedText(content, tokens);

		return isWhole && isExact ? [] : [`${content} (${requestId}): status ${status}, ${countWords(answer)} words, ${text.slice(-200)}`];
	});
}

async function listDispatched(system: System, requestId: string): Promise<readonly string[]> {
	const {events} = await traceRequest(system, requestId);

	return events.flatMap(event => event.kind === RequestEventKind.Dispatched ? [event.upstreamId] : []);
}

for (const [engines, silent, count, forMs] of [
	[1, 1, 4, shortSilenceMs],
	[1, 1, 4, longSilenceMs],
	[3, 1, 30, shortSilenceMs],
	[3, 1, 30, longSilenceMs],
	[3, 3, 30, shortSilenceMs],
	[3, 3, 30, longSilenceMs],
] as const) {
	test.serial(`${count} answers are whole although ${silent} of ${engines} engines send nothing for ${forMs} ms in the middle of them`, async t => {
		await withSystem({entries: 1, engines, engineFlags}, async system => {
			const answers = startAnswers(system, count, 'silence');
			await waitUntilBegun(answers);
			await startSilence(system.engines.slice(0, silent), forMs);
			t.deepEqual(await listFaults(answers), []);
			// Those that were silent go on.
			let prompts = 0;
			await waitUntil(async () => {
				prompts++;
				const later = await sendPrompt(system, `later ${prompts}`, {tokens: 5});

				const dispatched = await listDispatched(system, later.requestId);

				return later.status === 200 && dispatched.includes('engine-1');
			});
		});
	});

	test.serial(`${count} answers are whole although ${silent} of ${engines} engines send nothing for ${forMs} ms before them`, async t => {
		await withSystem({entries: 1, engines, engineFlags}, async system => {
			await startSilence(system.engines.slice(0, silent), forMs);
			t.deepEqual(await listFaults(startAnswers(system, count, 'silence')), []);
		});
	});
}

for (const forMs of [shortSilenceMs, longSilenceMs]) {
	test.serial(`answers are whole although all engines send nothing for ${forMs} ms while another preset is put in force and their entry is stopped`, async t => {
		await withSystem({
			entries: 2, engines: 3, engineFlags, entryFlags: ['--stop-timeout-ms', '60000'],
		}, async system => {
			const answers = startAnswers(system, 30, 'silence');
			await waitUntilBegun(answers);
			await startSilence(system.engines, forMs);
			const {code} = await system.runCli(['preset', 'apply', 'peak']);
			t.is(code, 0);
			system.entries[0]!.process.kill('SIGTERM');
			t.deepEqual(await listFaults(answers), []);
			t.is(await system.entries[0]!.process.waitForExit(), 0);
		});
	});

	test.serial(`answers are whole although the processes of all engines are stopped for ${forMs} ms in the middle of them`, async t => {
		await withSystem({entries: 1, engines: 3, engineFlags}, async system => {
			const answers = startAnswers(system, 30, 'silence');
			await waitUntilBegun(answers);

			for (const engine of system.engines) {
				engine.process.kill('SIGSTOP');
			}

			await sleep(forMs);

			for (const engine of system.engines) {
				engine.process.kill('SIGCONT');
			}

			t.deepEqual(await listFaults(answers), []);
		});
	});
}

test.serial('the trace of an answer and the log of its entry tell that its engine was silent and why nothing took over', async t => {
	await withSystem({entries: 1, engineFlags}, async system => {
		const answers = startAnswers(system, 1, 'silence');
		await waitUntilBegun(answers);
		await startSilence(system.engines, shortSilenceMs);
		t.deepEqual(await listFaults(answers), []);
		const {requestId} = answers[0]!;
		const {output} = await system.runCli(['trace', requestId]);
		t.regex(output, /attempt 1 at engine-1: keep \(silent, silent for \d+ ms\); nothing takes over: no_upstream/v);
		t.regex(system.entries[0]!.process.readOutput(), new RegExp(`upstream is silent.*${requestId}.*no_upstream`, 'v'));
	});
});

test.serial('a call that may be repeated is answered although its instance needs longer for it than it may be silent', async t => {
	await withSystem({entries: 1}, async system => {
		const response = await sendRequest(`http://${system.entries[0]!.address}/v1/services/work-orders/orders?delayMs=4000`, {key: system.organisationKey});
		t.is(response.status, 200);
		t.is(response.text, '{"bookings":0}');
	});
});
