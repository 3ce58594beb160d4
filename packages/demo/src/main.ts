import fs from 'node:fs/promises';
import process from 'node:process';
import {request} from 'undici';
import {startSystem} from './system.js';

const startedMs = Date.now();

function say(text: string): void {
	console.log(`[${((Date.now() - startedMs) / 1000).toFixed(1).padStart(5)} s] ${text}`);
}

function sayIndented(text: string): void {
	console.log(text.split('\n').map(line => `          ${line}`).join('\n'));
}

say('Starting one control replica (it keeps the durable state), two entries (callers connect to them), and stand-ins');
say('for a model engine and a plain service. Each is a process of its own.');
const system = await startSystem({
	entries: 2, controls: 1, engines: 1, services: 1,
});

try {
	const {entries, organisationKey, controls, engines, services} = system;
	const daemons = [...controls, ...entries].map(one => `${one.name} (pid ${one.process.pid})`);
	const upstreams = [...engines, ...services].map(one => `${one.id} (pid ${one.process.pid})`);
	say(`Running: ${[...daemons, ...upstreams].join(', ')}`);
	say('An operator has opened the group and applied a configuration:');
	const status = await system.runCli(['status']);
	sayIndented(status.output);

	say(`A caller asks ${entries[0]!.address} which entries to use:`);
	const list = await request(`http://${entries[0]!.address}/v1/entries?zone=south`);
	const listed = await list.body.json() as {entries: Array<{id: string; address: string}>; keepUntil: string};
	sayIndented(JSON.stringify(listed, undefined, 2));
	const {address, id} = listed.entries[0]!;
	const headers = {authorization: `Bearer ${organisationKey}`, 'content-type': 'application/json'};

	say(`It connects to ${id} and asks a question; the answer is streamed:`);
	const chat = await request(`http://${address}/v1/chat/completions`, {
		method: 'POST',
		headers,
		body: JSON.stringify({
			model: 'assistant', stream: true, messages: [{role: 'user', content: 'Which oil does a rickshaw of 2019 take?'}], max_completion_tokens: 12,
		}),
	});
	const chatText = await chat.body.text();
	const chatId = String(chat.headers['x-request-id']);
	const chunks = chatText.split('\n').filter(line => line.startsWith('data: {')).map(line => JSON.parse(line.slice(6)) as {choices: Array<{delta: {content?: string}}>});
	sayIndented(chunks.map(chunk => chunk.choices[0]?.delta.content ?? '').join(''));

	say('It books a work order, and sends the same booking again at the other entry, as if the answer had been lost:');
	const ids: string[] = [chatId];

	for (const entry of entries) {
		const booking = await request(`http://${entry.address}/v1/services/work-orders/orders`, {
			method: 'POST', headers: {...headers, 'idempotency-key': 'order-17'}, body: JSON.stringify({vehicle: 'N 123 W', work: 'rear axle'}),
		});
		ids.push(String(booking.headers['x-request-id']));
		const replayed = booking.headers['idempotency-replayed'] === 'true' ? ' (the recorded answer)' : '';
		sayIndented(`${entry.name}: ${booking.statusCode} ${await booking.body.text()}${replayed}`);
	}

	const journal = await fs.readFile(system.journal, 'utf8');
	say(`The service ran it ${journal.split('\n').filter(Boolean).length} time(s).`);

	for (const requestId of ids) {
		say(`fescuestair trace ${requestId}`);
		const trace = await system.runCli(['trace', requestId]);
		sayIndented(trace.output);
	}

	process.exitCode = chunks.length === 12 ? 0 : 1;
} finally {
	await system.stop();
	say('All processes are stopped.');
}
