import fs from 'node:fs/promises';
import process from 'node:process';
import {request} from 'undici';
import {startSystem} from './system.js';

const startedMs = Date.now();

function reportStep(text: string): void {
	console.log(`[${((Date.now() - startedMs) / 1000).toFixed(1).padStart(5)} s] ${text}`);
}

function reportIndented(text: string): void {
	console.log(text.split('\n').map(line => `          ${line}`).join('\n'));
}

reportStep('Starting one control replica (stores the durable state), two entries (callers connect to them), a simulated model');
reportStep('engine and a simulated plain service. Each runs in a process of its own.');
const system = await startSystem({
	entries: 2, controls: 1, engines: 1, services: 1,
});

try {
	const {entries, organisationKey, controls, engines, services} = system;
	const daemons = [...controls, ...entries].map(daemon => `${daemon.name} (pid ${daemon.process.pid})`);
	const upstreams = [...engines, ...services].map(upstream => `${upstream.id} (pid ${upstream.process.pid})`);
	reportStep(`Running: ${[...daemons, ...upstreams].join(', ')}`);
	reportStep('The control group is initialized and a configuration is applied:');
	const status = await system.runCli(['status']);
	reportIndented(status.output);

	reportStep(`A caller requests the list of entries from ${entries[0]!.address}:`);
	const listResponse = await request(`http://${entries[0]!.address}/v1/entries?zone=south`);
	const entryList = await listResponse.body.json() as {entries: Array<{id: string; address: string}>; keepUntil: string};
	reportIndented(JSON.stringify(entryList, undefined, 2));
	const {address, id} = entryList.entries[0]!;
	const headers = {authorization: `Bearer ${organisationKey}`, 'content-type': 'application/json'};

	reportStep(`It sends a prompt to ${id}, and the answer is streamed:`);
	const chatResponse = await request(`http://${address}/v1/chat/completions`, {
		method: 'POST',
		headers,
		body: JSON.stringify({
			model: 'assistant', stream: true, messages: [{role: 'user', content: 'Which oil does a rickshaw of 2019 take?'}], max_completion_tokens: 12,
		}),
	});
	const chatBody = await chatResponse.body.text();
	const chatRequestId = String(chatResponse.headers['x-request-id']);
	const chunks = chatBody.split('\n').filter(line => line.startsWith('data: {')).map(line => JSON.parse(line.slice(6)) as {choices: Array<{delta: {content?: string}}>});
	reportIndented(chunks.map(chunk => chunk.choices[0]?.delta.content ?? '').join(''));

	reportStep('It books a work order, and resends the booking through the other entry, as if the first answer had been lost:');
	const requestIds: string[] = [chatRequestId];

	for (const entry of entries) {
		const booking = await request(`http://${entry.address}/v1/services/work-orders/orders`, {
			method: 'POST', headers: {...headers, 'idempotency-key': 'order-17'}, body: JSON.stringify({vehicle: 'N 123 W', work: 'rear axle'}),
		});
		requestIds.push(String(booking.headers['x-request-id']));
		const replayed = booking.headers['idempotency-replayed'] === 'true' ? ' (the recorded answer)' : '';
		reportIndented(`${entry.name}: ${booking.statusCode} ${await booking.body.text()}${replayed}`);
	}

	const journal = await fs.readFile(system.journal, 'utf8');
	reportStep(`The service ran the booking ${journal.split('\n').filter(Boolean).length} time(s).`);

	for (const requestId of requestIds) {
		reportStep(`fescuestair trace ${requestId}`);
		const trace = await system.runCli(['trace', requestId]);
		reportIndented(trace.output);
	}

	process.exitCode = chunks.length === 12 ? 0 : 1;
} finally {
	await system.stop();
	reportStep('All processes have been stopped.');
}
