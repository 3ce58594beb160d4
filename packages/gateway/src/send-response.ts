import {type Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {type ResponseHead} from './attempt.js';
import {filterHeaders} from './exchange.js';

export type ResponseHeadOptions = {
	readonly head: ResponseHead;
	readonly isLeaving: boolean;
	/** Set where the complete body is available. */
	readonly contentLength?: number;
	/** Whether the length that the instance announced is that of the response. */
	readonly hasLength?: boolean;
};

/**
Sends the status and headers of an instance's response. Its body has a length or comes in chunks, also where that of the instance ends with its connection: the operating system closes
the connections of a killed process, and a response that ends so would look complete.
*/
export function sendResponseHead(response: ServerResponse, {head, isLeaving, contentLength, hasLength = true}: ResponseHeadOptions): void {
	const headers = filterHeaders(head.rawHeaders, name => name !== 'content-length' || (hasLength && contentLength === undefined));

	if (contentLength !== undefined) {
		headers.push('Content-Length', String(contentLength));
	}

	if (isLeaving) {
		headers.push('Connection', 'close');
	}

	response.writeHead(head.status, headers);
}

/** Sends a buffered response of an instance. */
export function sendUpstreamResponse(response: ServerResponse, {head, body, isLeaving}: {
	readonly head: ResponseHead;
	readonly body: Buffer;
	readonly isLeaving: boolean;
}): void {
	const hasNoBody = response.req.method === 'HEAD' || head.status === 204 || head.status === 304;
	sendResponseHead(response, {head, isLeaving, ...(!hasNoBody && {contentLength: body.length})});
	response.end(body);
}
