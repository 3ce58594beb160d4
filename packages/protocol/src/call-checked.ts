import {BaseError, type Guard} from '@fescuestair/core';
import {isLinkReply} from './link-checks.js';
import {type LinkMessage, type LinkReply} from './link-messages.js';

/** A process answered with what is no reply, or none that fits. */
export class ReplyError extends BaseError {
	constructor(address: string, reason: string) {
		super('reply', `${address}: ${reason}`);
	}
}

/** Sends a message and awaits the answer. */
export type LinkCaller = {readonly call: (address: string, message: unknown, timeoutMs: number) => Promise<unknown>};

/**
Calls another process and checks that what comes back is a reply.

@example
```
const reply = await callChecked(links, {address, message: {kind: LinkKind.ReadPublished}, timeoutMs: 1500});
```
*/
export async function callChecked(links: LinkCaller, {address, message, timeoutMs}: {
	readonly address: string; readonly message: LinkMessage; readonly timeoutMs: number;
}): Promise<LinkReply> {
	const reply = await links.call(address, message, timeoutMs);

	if (!isLinkReply(reply)) {
		throw new ReplyError(address, 'not a reply');
	}

	return reply;
}

/** Checks what a reply holds for the package that reads it. */
export function requireChecked<Value>(value: unknown, isValue: Guard<Value>, address: string): Value {
	if (!isValue(value)) {
		throw new ReplyError(address, 'a reply with fields that are missing or out of range');
	}

	return value;
}
