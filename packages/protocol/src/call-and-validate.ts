import {BaseError, type TypeGuard} from '@fescuestair/core';
import {isLinkReply} from './link-message-guards.js';
import {type LinkMessage, type LinkReply} from './link-messages.js';

/** A process answered a call with an invalid reply. */
export class ReplyError extends BaseError {
	constructor(address: string, reason: string) {
		super('reply', `${address}: ${reason}`);
	}
}

/** Calls other processes over links. */
export type LinkCaller = {readonly call: (address: string, message: unknown, timeoutMs: number) => Promise<unknown>};

/**
Calls another process and checks that its answer is a reply; throws a `ReplyError` otherwise.

@example
```
const reply = await callAndValidate(links, {address, message: {kind: LinkMessageKind.ReadPublished}, timeoutMs: 1500});
```
*/
export async function callAndValidate(links: LinkCaller, {address, message, timeoutMs}: {
	readonly address: string; readonly message: LinkMessage; readonly timeoutMs: number;
}): Promise<LinkReply> {
	const reply = await links.call(address, message, timeoutMs);

	if (!isLinkReply(reply)) {
		throw new ReplyError(address, 'not a reply');
	}

	return reply;
}

/** Returns a field of a reply if it passes the guard of the package that reads it; throws a `ReplyError` otherwise. */
export function requireValid<Value>(value: unknown, isValue: TypeGuard<Value>, address: string): Value {
	if (!isValue(value)) {
		throw new ReplyError(address, 'a reply with fields that are missing or out of range');
	}

	return value;
}
