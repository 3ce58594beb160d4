import {CommandKind, type Command} from './types.js';

type CommandOf<Kind extends CommandKind> = Extract<Command, {readonly kind: Kind}>;

/** Kinds of commands that contain neither a deadline nor a wall-clock time. */
type KindWithoutDeadline = CommandKind.RecordOutcome | CommandKind.Release | CommandKind.MarkOutcomeUnknown | CommandKind.ReserveTrial | CommandKind.IssueFencingToken | CommandKind.Expire;

type WithoutGroupTime<Kind extends CommandKind> = Kind extends CommandKind ? Omit<CommandOf<Kind>, 'atMs'> : never;

/** A command as an entry daemon or an operator sends it. The leader adds the group time and converts durations to deadlines. */
export type CommandRequest
	= | WithoutGroupTime<KindWithoutDeadline>
		| Omit<WithoutGroupTime<CommandKind.ChangeConfig>, 'wallMs'>
		| (Omit<WithoutGroupTime<CommandKind.Claim>, 'leaseDeadlineMs' | 'keepDeadlineMs'> & {
			/** Duration of the lease, from the time at which the leader receives the request. */
			readonly leaseMs: number;
			readonly keepMs: number;
		})
		| (Omit<WithoutGroupTime<CommandKind.ReportCrash>, 'keepDeadlineMs' | 'unanswered'> & {
			readonly keepMs: number;
			/** The age of the sending, when the leader receives the request. */
			readonly unanswered?: {readonly run: string; readonly traits: readonly string[]; readonly sentAgeMs: number};
		})
		| (Omit<WithoutGroupTime<CommandKind.ClearSuspicion>, 'answered'> & {readonly answered?: {readonly traits: readonly string[]; readonly ageMs: number}})
		| (Omit<WithoutGroupTime<CommandKind.AssignRetry>, 'retryDeadlineMs'> & {readonly retryMs: number});

/**
Creates the command for a request: adds the group time and converts durations to deadlines.

@example
```
const command = createCommand({kind: CommandKind.IssueFencingToken}, {atMs: stateMachine.readGroupTimeMs(), wallMs: Date.now()});
```
*/
export function createCommand(request: CommandRequest, {atMs, wallMs}: {atMs: number; wallMs: number}): Command {
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
			const {keepMs, unanswered, ...rest} = request;

			return {
				...rest, atMs, keepDeadlineMs: atMs + keepMs,
				...(unanswered !== undefined && {unanswered: {run: unanswered.run, traits: unanswered.traits, sentAtMs: atMs - unanswered.sentAgeMs}}),
			};
		}

		case CommandKind.AssignRetry: {
			const {retryMs, ...rest} = request;

			return {...rest, atMs, retryDeadlineMs: atMs + retryMs};
		}

		case CommandKind.ClearSuspicion: {
			const {answered, ...rest} = request;

			return {...rest, atMs, ...(answered !== undefined && {answered: {traits: answered.traits, atMs: atMs - answered.ageMs}})};
		}

		case CommandKind.ReserveTrial:
		case CommandKind.RecordOutcome:
		case CommandKind.Release:
		case CommandKind.MarkOutcomeUnknown:
		case CommandKind.IssueFencingToken:
		case CommandKind.Expire: {
			return {...request, atMs};
		}
	}
}
