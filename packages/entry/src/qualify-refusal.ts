import {type IncomingMessage} from 'node:http';
import {Ran, RefusalCode, type Refusal} from '@fescuestair/protocol';
import {findItem, ItemKind} from '@fescuestair/state';
import {type EntryServices} from './request-context.js';

/** Matches the path of a plain service: its name, and the path behind it. */
export const servicePathPattern = /^\/v1\/services\/(?<name>[a-z0-9._\-]{1,63})(?<path>\/.*)?$/v;

/** Refusals that an earlier call under the same key must have met as well, or that follow a look-up of its claim. */
const provenCodes = new Set([
	RefusalCode.NoUpstream,
	RefusalCode.KeyRequired,
	RefusalCode.KeyReused,
	RefusalCode.UnknownService,
	RefusalCode.TooLarge,
	RefusalCode.BadRequest,
]);

/**
Says "unknown" in place of "not run" where a call that may not be repeated is turned away before its claim has been looked
up: the request did not run, but an earlier one under its key may have.
*/
export function qualifyRefusal({follower}: Pick<EntryServices, 'follower'>, request: IncomingMessage, refusal: Refusal): Refusal {
	const {pathname} = new URL(request.url ?? '/', 'http://entry');
	const name = servicePathPattern.exec(pathname)?.groups?.name;

	if (name === undefined || refusal.ran !== Ran.NotRun || provenCodes.has(refusal.code)) {
		return refusal;
	}

	const service = findItem(follower.getState(), ItemKind.Service, name);
	const isRepeatable = service?.repeatableMethods.includes(request.method as 'GET') ?? false;

	return isRepeatable
		? refusal
		: {...refusal, ran: Ran.Unknown, message: `${refusal.message}; whether an earlier call under this key ran was not looked up`};
}
