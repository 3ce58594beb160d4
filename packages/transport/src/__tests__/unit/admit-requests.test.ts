import http, {type ServerResponse} from 'node:http';
import net from 'node:net';
import {once} from 'node:events';
import test, {type ExecutionContext} from 'ava';
import {CallerEviction, createCallerBudget} from '../../caller-budget.js';
import {admitRequests} from '../../admit-requests.js';
import {countUnsent} from '../../count-unsent.js';

const formatRequest = (path: string, body = '') => `POST ${path} HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

/** A server whose requests are answered by the test, with their path and body. */
const openServer = async (t: ExecutionContext) => {
	const budget = createCallerBudget();
	const started: string[] = [];
	const responses: Array<() => void> = [];
	const server = http.createServer(admitRequests(async (request, response: ServerResponse) => {
		started.push(request.url!);
		let body = '';

		for await (const chunk of request) {
			body += String(chunk);
		}

		responses.push(() => {
			response.end(`${request.url!}${body};`);
			countUnsent(response, budget);
		});
	}, {budget, maxRunning: 2, maxWaiting: 20}));
	server.on('connection', budget.connections.add);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const socket = net.connect((server.address() as {readonly port: number}).port, '127.0.0.1');
	const seen = {text: '', isClosed: false};
	socket.on('data', bytes => {
		seen.text += String(bytes);
	});
	socket.on('error', () => undefined);
	socket.on('close', () => {
		seen.isClosed = true;
	});
	t.teardown(() => {
		socket.destroy();
		server.close();
		server.closeAllConnections();
	});

	return {
		budget, started, responses, socket, seen,
	};
};

const waitUntil = async (check: () => boolean) => {
	while (!check()) {
		await new Promise(setImmediate);
	}
};

// Guards against requests that are all handled at once, and against a body that is never read since its connection is held.
test('requests sent ahead are handled two at a time, in their order, with their bodies', async t => {
	const {budget, started, responses, socket, seen} = await openServer(t);
	const last = formatRequest('/last', 'a body');
	socket.write(Array.from({length: 9}, (_, number) => formatRequest(`/${number}`, `${number}`)).join('') + last.slice(0, -3));
	await waitUntil(() => responses.length === 2 && budget.countBytes() > 0);
	t.deepEqual(started, ['/0', '/1']);
	socket.write(last.slice(-3));

	for (let answered = 0; answered < 10; answered++) {
		await waitUntil(() => responses.length > 0);
		t.true(started.length <= answered + 2);
		responses.shift()!();
	}

	await waitUntil(() => seen.text.includes('/lasta body;'));
	t.deepEqual(seen.text.match(/\/\w+(?=[\da-z ]*;)/gv)?.map(path => path.slice(0, 2)), ['/0', '/1', '/2', '/3', '/4', '/5', '/6', '/7', '/8', '/l']);
	t.is(budget.countBytes(), 0);
	t.is(budget.countConnections(), 1);
});

// Guards against memory of requests that nobody takes answers for.
test('a connection that sends far too many ahead is closed, and none of those that wait is handled', async t => {
	const {budget, started, socket, seen} = await openServer(t);
	socket.write(Array.from({length: 30}, (_, number) => formatRequest(`/${number}`)).join(''));
	await waitUntil(() => seen.isClosed && budget.countConnections() === 0);
	t.deepEqual(started, ['/0', '/1']);
	t.is(budget.countBytes(), 0);
	t.is(budget.listEvictions().get(CallerEviction.RequestsAhead), 1);
});

// Guards against room that is lost for good with a caller that leaves.
test('an answer that waits behind another counts no longer once its caller has left', async t => {
	const {budget, responses, socket} = await openServer(t);
	socket.write(formatRequest('/0') + formatRequest('/1', 'a'.repeat(70_000)));
	await waitUntil(() => responses.length === 2);
	responses[1]!();
	t.true(budget.countBytes() > 70_000);
	socket.destroy();
	await waitUntil(() => budget.countConnections() === 0);
	t.is(budget.countBytes(), 0);
});
