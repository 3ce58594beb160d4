import {type IncomingMessage} from 'node:http';
import {ExecutionStatus, RefusalCode, type Refusal} from '@fescuestair/protocol';
import {findItem, ItemKind} from '@fescuestair/state';
import {type EntryServices} from './request-context.js';

/** Matches the path of a call of a plain service; its groups are the name of the service and the rest of the path. */
export const servicePathPattern = /^\/v1\/services\/(?<name>[a-z0-9._\-]{1,63})(?<path>\/.*)?$/v;

/** Codes whose `ran` is definite: an earlier call under the same key would have been refused too, or its claim was looked up before the refusal. */
const definiteCodes = new Set([
	RefusalCode.NoUpstream,
	RefusalCode.UpstreamLimited,
	RefusalCode.IdempotencyKeyRequired,
	RefusalCode.IdempotencyKeyReused,
	RefusalCode.UnknownService,
	RefusalCode.TooLarge,
	RefusalCode.BadRequest,
]);

/**
Changes `ran` from "not run" to "unknown" if a call that must not be repeated is refused before its claim was looked up: this request did not
run, but an earlier one under the same key may have.
*/
export function qualifyRefusal({follower}: Pick<EntryServices, 'follower'>, request: IncomingMessage, refusal: Refusal): Refusal {
	const {pathname} = new URL(request.url ?? '/', 'http://entry');
	const name = servicePathPattern.exec(pathname)?.groups?.name;

	if (name === undefined || refusal.ran !== ExecutionStatus.NotRun || definiteCodes.has(refusal.code)) {
		return refusal;
	}

	const service = findItem(follower.getState(), ItemKind.Service, name);
	const isRepeatable = service?.repeatableMethods.includes(request.method as 'GET') ?? false;

	return isRepeatable
		? refusal
		: {...refusal, ran: ExecutionStatus.Unknown, message: `${refusal.message}; whether an earlier call under this key ran was not looked up`};
}
