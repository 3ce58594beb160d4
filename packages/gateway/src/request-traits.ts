import {computeHashHex} from '@fescuestair/core';
import {
	formatRequestTrait, isRequestTrait, listPromptTraits, type Traits,
} from '@fescuestair/crashes';
import {type Exchange} from './exchange.js';

/** The traits of requests, computed once for each: a waiting request is looked up repeatedly. */
export type RequestTraits = {
	readonly list: (exchange: Exchange) => Traits;
	/** Lists the traits that are to be compared with known ones. Most are compared with parts alone, which spares the hash of the body. */
	readonly listComparable: (exchange: Exchange, known: Iterable<string>) => Traits;
};

/**
Creates the traits of requests.

@example
```
const traits = createRequestTraits();
traits.list(exchange); //=> ['model m', 'part m 5c1e07a2', 'request 9f2c...']
```
*/
export function createRequestTraits(): RequestTraits {
	const fingerprints = new WeakMap<Exchange, string>();
	const promptTraits = new WeakMap<Exchange, Traits>();

	const getPromptTraits = (exchange: Exchange): Traits => {
		const {prompt} = exchange.caller;
		const traits = promptTraits.get(exchange) ?? (prompt === undefined ? [] : listPromptTraits(prompt.model, prompt.parts.map(({id}) => id)));
		promptTraits.set(exchange, traits);

		return traits;
	};

	const getFingerprint = (exchange: Exchange) => {
		const fingerprint = fingerprints.get(exchange) ?? computeFingerprint(exchange);
		fingerprints.set(exchange, fingerprint);

		return fingerprint;
	};

	const list = (exchange: Exchange): Traits => [...getPromptTraits(exchange), formatRequestTrait(getFingerprint(exchange))];

	return {
		list,
		listComparable: (exchange, known) => [...known].some(trait => isRequestTrait(trait)) ? list(exchange) : getPromptTraits(exchange),
	};
}

// A repeated request has the same target, organisation, parts and body under another id. The hash does not reveal the prompt.
function computeFingerprint({request, organisation, caller, body}: Exchange): string {
	return computeHashHex(JSON.stringify([request.method, request.url, organisation?.name, caller.prompt?.parts.map(({id}) => id), body.toString('latin1')]));
}
