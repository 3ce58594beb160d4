import {createCommandRegistry, type CommandRegistry} from '@fescuestair/core';
import {type LinkMessage, type LinkReply} from './link-messages.js';

/** A message from another process, with the way to answer where an answer is awaited. */
export type LinkCommand = LinkMessage & {readonly reply: ((reply: LinkReply) => void) | undefined};

/** Handlers of messages, by kind. */
export type LinkCommands = CommandRegistry<LinkCommand>;

/**
Creates the handlers of a process. A message that no handler takes is answered with an error.

@example
```
const commands = createLinkCommands();
commands.registerCommand(LinkKind.PollState, ({publicVersion, reply}) => {
	reply?.(answerPoll(publicVersion));

	return true;
});
```
*/
export function createLinkCommands(): LinkCommands {
	return createCommandRegistry<LinkCommand>();
}

/** Gives a message to its handlers. */
export function dispatchLinkMessage(commands: LinkCommands, message: unknown, reply: ((answer: unknown) => void) | undefined): void {
	const command: LinkCommand = {...message as LinkMessage, reply};

	if (!commands.dispatchCommand(command)) {
		reply?.({kind: 'error', message: `${String(command.kind)} is not served here`} satisfies LinkReply);
	}
}
