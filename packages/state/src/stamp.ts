import {CommandKind, type Command} from './types.js';

type CommandOf<Kind extends CommandKind> = Extract<Command, {readonly kind: Kind}>;

/** Commands that hold no deadline of their own. */
type PlainKind = CommandKind.Settle | CommandKind.Release | CommandKind.Abandon | CommandKind.ClearSuspicion | CommandKind.TakeFencingNumber | CommandKind.Expire;

type Unstamped<Kind extends CommandKind> = Kind extends CommandKind ? Omit<CommandOf<Kind>, 'atMs'> : never;

/** A command as an entry or an operator sends it; the leader gives it its place in group time, and makes deadlines of spans. */
export type Request
	= | Unstamped<PlainKind>
		| Omit<Unstamped<CommandKind.ChangeConfig>, 'wallMs'>
		| (Omit<Unstamped<CommandKind.Claim>, 'leaseDeadlineMs' | 'keepDeadlineMs'> & {
			/** From when the leader takes it. */
			readonly leaseMs: number;
			readonly keepMs: number;
		})
		| (Omit<Unstamped<CommandKind.ReportCrash>, 'keepDeadlineMs'> & {readonly keepMs: number})
		| (Omit<Unstamped<CommandKind.AssignRetry>, 'retryDeadlineMs'> & {readonly retryMs: number});

/**
Stamps a request with group time, turning spans into deadlines.

@example
```
const command = stampRequest({kind: CommandKind.TakeFencingNumber}, {atMs: host.readGroupMs(), wallMs: Date.now()});
```
*/
export function stampRequest(request: Request, {atMs, wallMs}: {atMs: number; wallMs: number}): Command {
	switch (request.kind) {
		case CommandKind.ChangeConfig: {
			return {...request, atMs, wallMs};
		}

		case CommandKind.Claim: {
			const {leaseMs, keepMs, ...rest} = request;

			return {
				...rest, atMs, leaseDeadlineMs: atMs + leaseMs, keepDeadlineMs: atMs + keepMs,
			};
		}

		case CommandKind.ReportCrash: {
			const {keepMs, ...rest} = request;

			return {...rest, atMs, keepDeadlineMs: atMs + keepMs};
		}

		case CommandKind.AssignRetry: {
			const {retryMs, ...rest} = request;

			return {...rest, atMs, retryDeadlineMs: atMs + retryMs};
		}

		case CommandKind.Settle:
		case CommandKind.Release:
		case CommandKind.Abandon:
		case CommandKind.ClearSuspicion:
		case CommandKind.TakeFencingNumber:
		case CommandKind.Expire: {
			return {...request, atMs};
		}
	}
}
