import {computeHashHex, type Clock} from '@fescuestair/core';
import {InstanceStage, type InstanceRegistry} from '@fescuestair/instances';
import {
	addBreak, addCrash, clearSuspect, createCrashSuspects, createSuspectNote, forgetBreaks, getQuarantineDeadline, isSuspect, listPressing, mergeSuspects, takeCrashed,
	type SuspectNote,
} from '@fescuestair/limits';
import {LinkKind, type LinkMessage} from '@fescuestair/protocol';
import {type Log} from '@fescuestair/runtime';
import {type Links} from '@fescuestair/transport';
import {type Exchange} from './exchange.js';
import {type InstanceEntry} from './instance-entry.js';

export type CrashWatchOptions = {
	readonly linkAddress: string;
	readonly links: Pick<Links, 'send'>;
	readonly clock: Clock;
	readonly log: Log;
	/** Link address of the coordinator that relays. */
	readonly getHome: () => string | undefined;
};

/** Finds the requests that crash the instances that run them, with the other gateways. */
export type CrashWatch = {
	/** Until when a request is not run; `undefined` where it may run. */
	readonly getQuarantineDeadline: (exchange: Exchange) => number | undefined;
	/** The connection broke while an instance had the request. */
	readonly noteBroken: (exchange: Exchange, entry: InstanceEntry) => void;
	/** The instance gave a whole answer to a request. */
	readonly noteFinished: (exchange: Exchange, entry: InstanceEntry, sentAtMs: number) => void;
	/** The instance takes no connection any more. */
	readonly noteUnreachable: (entry: InstanceEntry) => void;
	/** Instances that ended, or started again, did so after what broke there. */
	readonly noteRegistry: (registry: InstanceRegistry) => void;
	readonly take: (notes: readonly SuspectNote[]) => void;
	readonly stop: () => void;
};

/** Suspects are told again for gateways that missed them or have started since: about as soon as a caller sends a request again. */
const retellMs = 2000;
/** Suspects told again in one round, the newest first. */
const maxRetold = 50;

/**
Creates the watch for requests that crash instances. A broken connection alone is no sign of a crash: the instance has to be found
unreachable, or to have started again, before it answers anything else.

@example
```
const crashes = createCrashWatch({linkAddress, links, clock, log, getHome});
```
*/
export function createCrashWatch({linkAddress, links, clock, log, getHome}: CrashWatchOptions): CrashWatch {
	const fingerprints = new WeakMap<Exchange, string>();
	let state = createCrashSuspects();

	// A request that waits is looked up again and again; its body is hashed once.
	const getFingerprint = (exchange: Exchange) => {
		const fingerprint = fingerprints.get(exchange) ?? computeFingerprint(exchange);
		fingerprints.set(exchange, fingerprint);

		return fingerprint;
	};

	const tellOthers = (suspects: readonly string[]) => {
		const nowMs = clock.readMonotonicMs();
		const notes = suspects.map(fingerprint => createSuspectNote(state, fingerprint, nowMs)).filter(note => note !== undefined);

		if (notes.length === 0) {
			return;
		}

		const home = getHome();

		if (home !== undefined) {
			links.send(home, {
				kind: LinkKind.Suspects, from: linkAddress, notes, isRelayed: false,
			} satisfies LinkMessage);
		}
	};

	const noteCrash = (incarnation: string) => {
		const nowMs = clock.readMonotonicMs();
		const taken = takeCrashed(state, {incarnation, nowMs});

		if (taken.fingerprints.length === 0) {
			return;
		}

		state = addCrash(taken.state, {fingerprints: taken.fingerprints, incarnation, nowMs});

		for (const fingerprint of taken.fingerprints) {
			log.warn('an instance crashed under a request', {
				id: parseInstanceId(incarnation), fingerprint, isQuarantined: getQuarantineDeadline(state, fingerprint, nowMs) !== undefined,
			});
		}

		tellOthers(taken.fingerprints);
	};

	const timer = setInterval(() => {
		tellOthers(listPressing(state).slice(-maxRetold));
	}, retellMs);

	return {
		getQuarantineDeadline: exchange => state.suspects.size === 0
			? undefined
			: getQuarantineDeadline(state, getFingerprint(exchange), clock.readMonotonicMs()),
		noteBroken(exchange, entry) {
			state = addBreak(state, {
				fingerprint: getFingerprint(exchange), incarnation: formatIncarnation(entry.held.record), nowMs: clock.readMonotonicMs(),
			});
		},
		noteFinished(exchange, entry, sentAtMs) {
			state = forgetBreaks(state, {incarnation: formatIncarnation(entry.held.record), sentAtMs});

			if (state.suspects.size === 0) {
				return;
			}

			const fingerprint = getFingerprint(exchange);

			if (isSuspect(state, fingerprint)) {
				state = clearSuspect(state, fingerprint);
				log.info('a suspected request finished', {fingerprint});
				tellOthers([fingerprint]);
			}
		},
		noteUnreachable(entry) {
			noteCrash(formatIncarnation(entry.held.record));
		},
		noteRegistry({held}) {
			for (const incarnation of state.unclear.keys()) {
				const record = held.get(parseInstanceId(incarnation))?.record;

				if (record === undefined || record.stage === InstanceStage.Gone || formatIncarnation(record) !== incarnation) {
					noteCrash(incarnation);
				}
			}
		},
		take(notes) {
			for (const {fingerprint, crashed} of notes) {
				const known = state.suspects.get(fingerprint)?.crashed;
				const ids = crashed.filter(incarnation => known?.has(incarnation) !== true).map(incarnation => parseInstanceId(incarnation));

				if (ids.length > 0) {
					log.info('crashes under a request were told', {fingerprint, ids});
				}
			}

			state = mergeSuspects(state, notes, clock.readMonotonicMs());
		},
		stop() {
			clearInterval(timer);
		},
	};
}

// A request that comes again has the same target, sender and body, under another id. The hash tells nothing of the text.
function computeFingerprint({request, organisation, body}: Exchange): string {
	return computeHashHex(JSON.stringify([request.method, request.url, organisation?.name, body.toString('latin1')]));
}

function formatIncarnation({id, incarnation}: {readonly id: string; readonly incarnation: number}): string {
	return `${id} ${incarnation}`;
}

function parseInstanceId(incarnation: string): string {
	return incarnation.slice(0, incarnation.lastIndexOf(' '));
}
