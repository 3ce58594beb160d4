import {type Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {type AttemptHead} from './attempt.js';
import {filterHeaders} from './exchange.js';

export type AnswerOptions = {
	readonly head: AttemptHead;
	readonly isLeaving: boolean;
	/** Known where the whole answer is at hand. */
	readonly contentLength?: number;
};

/**
Sends the head of an instance's answer. What the instance did not frame is not framed here either: its end says as much to the caller as
it said here, and an answer that was cut short does not come to look whole.
*/
export function sendAnswerHead(response: ServerResponse, {head, isLeaving, contentLength}: AnswerOptions): void {
	const headers = filterHeaders(head.rawHeaders, name => name !== 'content-length' || contentLength === undefined);

	if (!head.isFramed) {
		response.useChunkedEncodingByDefault = false;
		response.shouldKeepAlive = false;
	} else if (contentLength !== undefined) {
		headers.push('Content-Length', String(contentLength));
	}

	if (isLeaving || !head.isFramed) {
		headers.push('Connection', 'close');
	}

	response.writeHead(head.status, headers);
}

/** Sends a whole answer of an instance. */
export function sendUpstreamAnswer(response: ServerResponse, {head, body, isLeaving}: {
	readonly head: AttemptHead;
	readonly body: Buffer;
	readonly isLeaving: boolean;
}): void {
	const isBodyless = response.req.method === 'HEAD' || head.status === 204 || head.status === 304;
	sendAnswerHead(response, {head, isLeaving, ...(!isBodyless && {contentLength: body.length})});
	response.end(body);
}
