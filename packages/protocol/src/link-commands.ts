import {
	CommandPriority, isRecordOf, isTextUpTo, type Guard,
} from '@fescuestair/core';
import {type LinkKind, type LinkMessage, type LinkReply} from './link-messages.js';

/** Answers a call; absent where no answer is awaited. */
export type LinkReplier = ((reply: LinkReply) => void) | undefined;

/** A checked message from another process, with the way to answer. */
export type LinkCommand<Kind extends LinkKind, Message> = Message & {readonly kind: Kind; readonly reply: LinkReplier};

type MessageOf<Kind extends LinkKind> = Omit<Extract<LinkMessage, {readonly kind: Kind}>, 'kind'>;

/** Handlers of messages, by kind; each gets only messages that its guard lets through. */
export type LinkCommands = {
	/** Returns the undo. A handler returns whether it has dealt with the message, which ends the dispatch. */
	readonly registerCommand: <Kind extends LinkKind, Message extends MessageOf<Kind>>(
		kind: Kind,
		isMessage: Guard<Message>,
		handler: (command: LinkCommand<Kind, Message>) => boolean,
		priority?: CommandPriority,
	) => () => void;
	readonly dispatch: (message: unknown, reply: LinkReplier) => void;
	/** Messages that were taken, by kind. */
	readonly listCounts: () => Iterable<readonly [kind: string, count: number]>;
};

/** What became of a message that no handler could take. */
export enum LinkFaultKind {
	/** No list of fields with a kind. */
	NoMessage = 'no_message',
	/** This process serves no messages of the kind; a newer version of the other may know more kinds. */
	NotServed = 'not_served',
	/** A field is missing, of another type or out of range. */
	Malformed = 'malformed',
	/** The handler failed: a defect. */
	Failed = 'failed',
}

export type LinkFault = {
	readonly fault: LinkFaultKind;
	/** Kind of the message, cut short. */
	readonly kind: string;
	readonly error?: unknown;
};

type Registration = {
	readonly kind: LinkKind;
	readonly priority: CommandPriority;
	readonly isMessage: Guard<unknown>;
	readonly handler: (command: LinkCommand<never, never>) => boolean;
};

const maxKindLength = 60;
const hasKind = isRecordOf({kind: isTextUpTo(maxKindLength)});

/**
Creates the handlers of a process. What a handler throws concerns its message alone; a message that no handler takes is answered with an error.

@example
```
const commands = createLinkCommands({onFault: fault => log.warn('message not taken', fault)});
commands.registerCommand(LinkKind.PollState, isPoll, ({publicVersion, reply}) => {
	reply?.(answerPoll(publicVersion));

	return true;
});
```
*/
export function createLinkCommands({onFault}: {readonly onFault: (fault: LinkFault) => void}): LinkCommands {
	const registrations = new Map<string, readonly Registration[]>();
	const counts = new Map<string, number>();

	const refuse = (fault: LinkFault, reply: LinkReplier) => {
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
			if (!hasKind(message)) {
				refuse({fault: LinkFaultKind.NoMessage, kind: 'none'}, reply);

				return;
			}

			const {kind} = message;
			const handlers = registrations.get(kind) ?? [];
			const takers = handlers.filter(({isMessage}) => isMessage(message));

			if (takers.length === 0) {
				refuse({fault: handlers.length === 0 ? LinkFaultKind.NotServed : LinkFaultKind.Malformed, kind}, reply);

				return;
			}

			counts.set(kind, (counts.get(kind) ?? 0) + 1);
			const command = {...message, reply} as unknown as LinkCommand<never, never>;

			try {
				if (!takers.some(({handler}) => handler(command))) {
					refuse({fault: LinkFaultKind.NotServed, kind}, reply);
				}
			} catch (error) {
				refuse({fault: LinkFaultKind.Failed, kind, error}, reply);
			}
		},
		listCounts: () => counts,
	};
}
