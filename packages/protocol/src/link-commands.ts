import {
	CommandPriority, isObjectWith, isStringUpTo, type TypeGuard,
} from '@fescuestair/core';
import {type LinkMessageKind, type LinkMessage, type LinkReply} from './link-messages.js';

/** Sends the reply to a call; `undefined` for a one-way message. */
export type LinkReplyCallback = ((reply: LinkReply) => void) | undefined;

/** A message from another process that its guard has accepted, with the function to reply. */
export type LinkCommand<Kind extends LinkMessageKind, Message> = Message & {readonly kind: Kind; readonly reply: LinkReplyCallback};

type MessageOf<Kind extends LinkMessageKind> = Omit<Extract<LinkMessage, {readonly kind: Kind}>, 'kind'>;

/** Handlers of messages by kind; a handler receives only messages that its guard accepts. */
export type LinkCommands = {
	/** Returns a function that unregisters the handler. A handler that returns `true` has handled the message and stops its propagation. */
	readonly registerCommand: <Kind extends LinkMessageKind, Message extends MessageOf<Kind>>(
		kind: Kind,
		isMessage: TypeGuard<Message>,
		handler: (command: LinkCommand<Kind, Message>) => boolean,
		priority?: CommandPriority,
	) => () => void;
	readonly dispatch: (message: unknown, reply: LinkReplyCallback) => void;
	/** Number of messages, by kind, that a guard has accepted. */
	readonly listCounts: () => Iterable<readonly [kind: string, count: number]>;
};

/** Why a message was rejected. */
export enum LinkFaultKind {
	/** Not an object with a valid `kind`. */
	InvalidMessage = 'no_message',
	/** No handler for the kind, or none that handled the message; a peer of a newer version may send kinds that this process does not know. */
	UnsupportedKind = 'not_served',
	/** A field is missing, of the wrong type or out of range. */
	Malformed = 'malformed',
	/** The handler threw an error, which is a defect. */
	HandlerFailed = 'failed',
}

export type LinkFault = {
	readonly fault: LinkFaultKind;
	/** Kind of the message, at most 60 characters; `none` if it has no valid one. */
	readonly kind: string;
	readonly error?: unknown;
};

type Registration = {
	readonly kind: LinkMessageKind;
	readonly priority: CommandPriority;
	readonly isMessage: TypeGuard<unknown>;
	readonly handler: (command: LinkCommand<never, never>) => boolean;
};

const maxKindLength = 60;
const hasMessageKind = isObjectWith({kind: isStringUpTo(maxKindLength)});

/**
Creates the registry of message handlers of a process. An error thrown by a handler affects only its message; a rejected call is answered
with an error.

@example
```
const commands = createLinkCommands({onFault: fault => log.warn('message rejected', fault)});
commands.registerCommand(LinkMessageKind.PollState, isPollStateMessage, ({publicVersion, reply}) => {
	reply?.(answerPoll(publicVersion));

	return true;
});
```
*/
export function createLinkCommands({onFault}: {readonly onFault: (fault: LinkFault) => void}): LinkCommands {
	const registrations = new Map<string, readonly Registration[]>();
	const counts = new Map<string, number>();

	const rejectMessage = (fault: LinkFault, reply: LinkReplyCallback) => {
		onFault(fault);
		reply?.({kind: 'error', message: `${fault.kind}: ${fault.fault}`});
	};

	return {
		registerCommand(kind, isMessage, handler, priority = CommandPriority.Normal) {
			const registration: Registration = {
				kind, priority, isMessage, handler,
			};
			registrations.set(kind, [...registrations.get(kind) ?? [], registration].toSorted((a, b) => b.priority - a.priority));

			return () => {
				registrations.set(kind, (registrations.get(kind) ?? []).filter(other => other !== registration));
			};
		},
		dispatch(message, reply) {
			if (!hasMessageKind(message)) {
				rejectMessage({fault: LinkFaultKind.InvalidMessage, kind: 'none'}, reply);

				return;
			}

			const {kind} = message;
			const handlers = registrations.get(kind) ?? [];
			const matchingRegistrations = handlers.filter(({isMessage}) => isMessage(message));

			if (matchingRegistrations.length === 0) {
				rejectMessage({fault: handlers.length === 0 ? LinkFaultKind.UnsupportedKind : LinkFaultKind.Malformed, kind}, reply);

				return;
			}

			counts.set(kind, (counts.get(kind) ?? 0) + 1);
			const command = {...message, reply} as unknown as LinkCommand<never, never>;

			try {
				if (!matchingRegistrations.some(({handler}) => handler(command))) {
					rejectMessage({fault: LinkFaultKind.UnsupportedKind, kind}, reply);
				}
			} catch (error) {
				rejectMessage({fault: LinkFaultKind.HandlerFailed, kind, error}, reply);
			}
		},
		listCounts: () => counts,
	};
}
