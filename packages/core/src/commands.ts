/** Handlers with a higher priority run first. */
export enum CommandPriority {
	Low = 0,
	Normal = 1,
	High = 2,
}

/** Handles a command; returns true if it was handled, which stops its propagation to further handlers. */
export type CommandHandler<Command> = (command: Command) => boolean;

/** Registry of handlers for typed commands, which run in order of priority. */
export type CommandRegistry<Command extends {readonly kind: string}> = {
	readonly registerCommand: <Kind extends Command['kind']>(
		kind: Kind,
		handler: CommandHandler<Extract<Command, {readonly kind: Kind}>>,
		priority?: CommandPriority,
	) => () => void;
	readonly dispatchCommand: (command: Command) => boolean;
};

type Registration<Command> = {
	readonly kind: string;
	readonly priority: CommandPriority;
	readonly handler: CommandHandler<Command>;
};

/**
Creates a registry of command handlers. `registerCommand` returns a function that removes the handler.

@example
```
const registry = createCommandRegistry<{kind: 'ping'; id: number}>();
const unregister = registry.registerCommand('ping', command => command.id > 0);
registry.dispatchCommand({kind: 'ping', id: 1}); //=> true
unregister();
```
*/
export function createCommandRegistry<Command extends {readonly kind: string}>(): CommandRegistry<Command> {
	let registrations: ReadonlyArray<Registration<Command>> = [];

	return {
		registerCommand(kind, handler, priority = CommandPriority.Normal) {
			const registration = {kind, priority, handler: handler as CommandHandler<Command>};
			registrations = [...registrations, registration].toSorted((a, b) => b.priority - a.priority);

			return () => {
				registrations = registrations.filter(other => other !== registration);
			};
		},
		dispatchCommand(command) {
			return registrations.some(registration => registration.kind === command.kind && registration.handler(command));
		},
	};
}
