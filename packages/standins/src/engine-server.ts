import {type IncomingMessage, type ServerResponse} from 'node:http';
import {headerNames} from '@fescuestair/protocol';
import {sendJson} from '@fescuestair/transport';
import {type Engine, type Run, type RunInput} from './engine.js';
import {handlePieceRequest} from './engine-piece-requests.js';
import {openServer} from './open-server.js';
import {readJson} from './read-json.js';
import {createSilence, parseSilence, type Silence} from './silence.js';
import {type Weights} from './weights.js';

export type EngineServerOptions = {
	readonly host: string;
	readonly port: number;
	readonly engine: Engine;
	readonly weights: Weights;
	/** Version of its software, which its answers name. */
	readonly softwareVersion: string;
	/** Requests per second that it names as its limit in its responses; `undefined` for none. */
	readonly requestLimit: string | undefined;
};

const heartbeatIntervalMs = 500;

/**
Creates the engine's HTTP server: starts, resumes and cancels runs, exports and imports pieces, serves cache events.

`POST /v1/silence?forMs=3500` makes it send nothing for that time, while runs go on and requests are accepted.
*/
export async function createEngineServer(options: EngineServerOptions) {
	const {host, port, engine, weights, softwareVersion, requestLimit} = options;
	const silence = createSilence();

	const handleRequest = async (request: IncomingMessage, response: ServerResponse) => {
		const {pathname, searchParams} = new URL(request.url ?? '/', 'http://engine');

		response.setHeader(headerNames.softwareVersion, softwareVersion);

		if (requestLimit !== undefined) {
			response.setHeader(headerNames.requestLimit, requestLimit);
		}

		const silentForMs = parseSilence(request.url);

		if (silentForMs !== undefined) {
			sendJson(response, 200, {silentForMs});
			silence.start(silentForMs);

			return;
		}

		const requestId = /^\/v1\/generate\/(?<id>[\w\-]+)$/v.exec(pathname)?.groups?.id;

		if (request.method === 'POST' && pathname === '/v1/generate') {
			const input = await readJson(request) as RunInput;

			if (input.weightVersion !== weights.getVersion()) {
				await silence.waitForEnd();
				sendJson(response, 409, {code: 'other_weight_version'});

				return;
			}

			const run = engine.start(input);
			await silence.waitForEnd();
			response.setHeader(headerNames.load, JSON.stringify(engine.getLoad()));
			streamRun(response, {run, fromOffset: input.fromOffset, silence});

			return;
		}

		await silence.waitForEnd();

		if (requestId !== undefined) {
			const run = engine.findRun(requestId);

			if (run === undefined || run.input.organisation !== request.headers[headerNames.organisation]) {
				sendJson(response, 404, {code: 'no_such_run'});
			} else if (request.method === 'DELETE') {
				engine.cancel(requestId);
				sendJson(response, 200, {requestId});
			} else {
				streamRun(response, {run, fromOffset: Number(searchParams.get('from') ?? 0), silence});
			}
		} else if (request.method === 'POST' && pathname === '/v1/orders') {
			const order = await readJson(request) as {readonly weightVersion: string};
			const status = weights.order({
				weightVersion: order.weightVersion,
				fencingNumber: Number(request.headers[headerNames.fencingToken] ?? 0),
				key: request.headers.authorization?.slice('Bearer '.length),
			});
			sendJson(response, status, {weightVersion: weights.getVersion()});
		} else if (pathname === '/v1/stats') {
			sendJson(response, 200, {prefilledTokens: engine.countPrefilledTokens()});
		} else if (!await handlePieceRequest(engine, request, response)) {
			sendJson(response, 404, {code: 'not_found'});
		}
	};

	return openServer({host, port}, handleRequest);
}

type RunStream = {readonly run: Run; readonly fromOffset: number; readonly silence: Silence};

/** Streams the tokens of a run from an offset as server-sent events, with heartbeats in between. */
function streamRun(response: ServerResponse, {run, fromOffset, silence}: RunStream): void {
	if (response.destroyed) {
		return;
	}

	let nextOffset = fromOffset;
	let isEnded = false;
	response.writeHead(200, {'content-type': 'text/event-stream'});
	response.flushHeaders();

	const sendEvent = ({offset, text, isLast}: {offset: number; text: string; isLast: boolean}) => {
		const finishReason = isLast ? (offset >= run.input.maxTokens ? 'length' : 'stop') : undefined;
		response.write(`id: ${offset}\ndata: ${JSON.stringify({text, finishReason})}\n\n`);
	};

	const sendNewTokens = () => {
		if (silence.isSilent() || response.writableEnded) {
			return;
		}

		const startOffset = run.input.fromOffset;
		const endOffset = startOffset + run.tokens.length;

		while (nextOffset < endOffset) {
			const text = run.tokens[nextOffset - startOffset]!;
			nextOffset++;
			isEnded = run.isDone && nextOffset === endOffset;
			sendEvent({offset: nextOffset, text, isLast: isEnded});
		}

		if (run.isDone) {
			// A reader that has all tokens is told that there are no more.
			if (!isEnded) {
				sendEvent({offset: endOffset, text: '', isLast: true});
			}

			response.end();
		}
	};

	const heartbeat = setInterval(() => {
		if (!silence.isSilent()) {
			response.write(': heartbeat\n\n');
		}
	}, heartbeatIntervalMs);
	run.listeners.add(sendNewTokens);
	const forgetSilence = silence.watchEnd(sendNewTokens);
	response.on('close', () => {
		forgetSilence();
		clearInterval(heartbeat);
		run.listeners.delete(sendNewTokens);
	});
	sendNewTokens();
}
