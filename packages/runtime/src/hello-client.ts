import {type Clock} from '@fescuestair/core';
import {
	isHelloReply, type HelloKind, type Hello, type HelloReply, type HomeList, type UpdateCursor,
} from '@fescuestair/instances';
import {
	callAndValidate, LinkMessageKind, requireValid, type LinkCaller,
} from '@fescuestair/protocol';

export type HelloClientOptions = {
	readonly clock: Pick<Clock, 'readMonotonicMs'>;
	readonly links: LinkCaller;
	readonly timeoutMs: number;
	/** Returns the fields that are the same for every coordinator at this moment. */
	readonly getHello: () => Pick<Hello, 'card' | 'publishedRevision' | 'configVersion' | 'evidenceDigest'>;
	/** `roundTripMs` is the time since the hello was sent, by which what the reply tells may be out of date. */
	readonly onReply: (address: string, reply: HelloReply, roundTripMs: number) => void;
	/** Called when a coordinator did not answer in time, or answered with an invalid reply. */
	readonly onFailure: (address: string, error: unknown) => void;
};

export type HelloOptions = {
	/** Relation of this daemon to the coordinator. */
	readonly greeting: HelloKind;
	/** Requests the changes of instances since the last reply from this coordinator; default true. */
	readonly wantsUpdates?: boolean;
	/** Requests a summary of the whole fleet; default false. */
	readonly wantsFleet?: boolean;
	/** Gateways that have this coordinator as their home; sent only by coordinators. */
	readonly homes?: HomeList;
};

/** Sends hellos to coordinators: announces this daemon and requests the updates that it does not have yet. */
export type HelloClient = {
	readonly sendHello: (address: string, options: HelloOptions) => void;
	/** Whether a hello to the address is still unanswered. */
	readonly isAwaitingReply: (address: string) => boolean;
};

/**
Creates the hello client of a daemon. It keeps one cursor per coordinator, so that each hello requests only newer updates.

@example
```
const helloClient = createHelloClient({clock, links, timeoutMs: 1500, getHello, onReply, onFailure});
helloClient.sendHello('10.0.0.1:7200', {greeting: HelloKind.Visitor, wantsUpdates: true});
```
*/
export function createHelloClient({clock, links, timeoutMs, getHello, onReply, onFailure}: HelloClientOptions): HelloClient {
	const cursors = new Map<string, UpdateCursor>();
	const pendingCallCounts = new Map<string, number>();

	const call = async (address: string, {greeting, wantsUpdates = true, wantsFleet = false, homes}: HelloOptions) => {
		const hello: Hello = {
			...getHello(), greeting, wantsFleet, newsAfter: wantsUpdates ? cursors.get(address) ?? {bootId: undefined, revision: 0} : undefined,
			...(homes !== undefined && {homes}),
		};
		pendingCallCounts.set(address, (pendingCallCounts.get(address) ?? 0) + 1);

		const sentAtMs = clock.readMonotonicMs();

		try {
			const answer = await callAndValidate(links, {address, message: {kind: LinkMessageKind.Hello, hello}, timeoutMs});

			if (answer.kind !== 'hello') {
				return;
			}

			const reply = requireValid(answer.reply, isHelloReply, address);
			onReply(address, reply, clock.readMonotonicMs() - sentAtMs);

			if (reply.news !== undefined) {
				cursors.set(address, reply.news.cursor);
			}
		} catch (error) {
			onFailure(address, error);
		} finally {
			pendingCallCounts.set(address, pendingCallCounts.get(address)! - 1);
		}
	};

	return {
		sendHello(address, options) {
			void call(address, options);
		},
		isAwaitingReply: address => (pendingCallCounts.get(address) ?? 0) > 0,
	};
}
