import {CommandKind, type ClaimOutcome, type Command} from './types.js';

/** A command as an entry or an operator sends it; the leader gives it its place in group time. */
export type Request
	= | Omit<Extract<Command, {kind: CommandKind.ChangeConfig}>, 'atMs' | 'wallMs'>
		| {
			readonly kind: CommandKind.Claim;
			readonly organisation: string;
			readonly key: string;
			readonly bodyDigest: string;
			readonly requestId: string;
			readonly entryId: string;
			/** From when the leader takes it. */
			readonly leaseMs: number;
			readonly keepMs: number;
		}
		| {readonly kind: CommandKind.Settle; readonly key: string; readonly token: number; readonly outcome?: ClaimOutcome}
		| {readonly kind: CommandKind.Release; readonly key: string; readonly token: number}
		| {readonly kind: CommandKind.Abandon; readonly key: string; readonly token: number; readonly isHolderLost: boolean}
		| {
			readonly kind: CommandKind.ReportCrash;
			readonly fingerprint: string;
			readonly organisation: string;
			readonly requestId: string;
			readonly upstreamId: string;
			readonly keepMs: number;
		}
		| {readonly kind: CommandKind.AssignRetry; readonly fingerprint: string; readonly candidateIds: readonly string[]; readonly retryMs: number}
		| {readonly kind: CommandKind.ClearSuspicion; readonly fingerprint: string}
		| {readonly kind: CommandKind.TakeFencingNumber}
		| {readonly kind: CommandKind.Expire};

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
