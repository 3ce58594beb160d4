import {computeHashHex, type Clock} from '@fescuestair/core';
import {InstanceStage, type InstanceRegistry} from '@fescuestair/instances';
import {
	recordConnectionLoss, recordCrash, clearSuspect, createCrashSuspects, createSuspectUpdate, forgetConnectionLosses,
	getQuarantineDeadline, isSuspect, listNearQuarantine, mergeSuspects, takeCrashedRequests,
	type SuspectUpdate,
} from '@fescuestair/limits';
import {LinkMessageKind, type LinkMessage} from '@fescuestair/protocol';
import {type Logger} from '@fescuestair/runtime';
import {type Links} from '@fescuestair/transport';
import {type Exchange} from './exchange.js';
import {type PooledInstance} from './pooled-instance.js';

export type CrashDetectorOptions = {
	readonly linkAddress: string;
	readonly links: Pick<Links, 'send'>;
	readonly clock: Clock;
	readonly log: Logger;
	/** Link address of the primary home, which relays updates to the other gateways. */
	readonly getHome: () => string | undefined;
};

/** Detects requests that crash the instances that run them, together with the other gateways. */
export type CrashDetector = {
	/** Returns the time until which a request is quarantined; `undefined` where it may run. */
	readonly getQuarantineDeadline: (exchange: Exchange) => number | undefined;
	/** Records that the connection was lost while an instance was running the request, and after how many pieces of its answer. */
	readonly recordBrokenConnection: (exchange: Exchange, instance: PooledInstance, pieces: number) => void;
	/** Records that an instance sent a complete response to a request. */
	readonly recordCompletion: (exchange: Exchange, instance: PooledInstance, sentAtMs: number) => void;
	/** Records that an instance no longer accepts connections. */
	readonly recordUnreachable: (instance: PooledInstance) => void;
	/** Counts a crash for each instance that has ended or restarted since a connection to it was lost. */
	readonly applyRegistry: (registry: InstanceRegistry) => void;
	/** Merges the suspects that other gateways report. */
	readonly applySuspectNotes: (notes: readonly SuspectUpdate[]) => void;
	readonly stop: () => void;
};

/**
Interval at which suspects near quarantine are sent again, for gateways that missed them or started later; callers repeat a request after about
this time.
*/
const resendIntervalMs = 2000;
/** Bound on the suspects that are sent again in one round; the newest are kept. */
const maxResentSuspects = 50;

/**
Creates the detector of requests that crash instances. A lost connection alone does not count as a crash: the instance has to be found
unreachable, or to have restarted, before it answers another request.

@example
```
const crashDetector = createCrashDetector({linkAddress, links, clock, log, getHome});
```
*/
export function createCrashDetector({linkAddress, links, clock, log, getHome}: CrashDetectorOptions): CrashDetector {
	const fingerprints = new WeakMap<Exchange, string>();
	let state = createCrashSuspects();

	// Caches the fingerprint: a waiting request is looked up repeatedly, and its body should be hashed only once.
	const getFingerprint = (exchange: Exchange) => {
		const fingerprint = fingerprints.get(exchange) ?? computeFingerprint(exchange);
		fingerprints.set(exchange, fingerprint);

		return fingerprint;
	};

	const sendSuspectNotes = (suspects: readonly string[]) => {
		const nowMs = clock.readMonotonicMs();
		const notes = suspects.map(fingerprint => createSuspectUpdate(state, fingerprint, nowMs)).filter(note => note !== undefined);

		if (notes.length === 0) {
			return;
		}

		const home = getHome();

		if (home !== undefined) {
			links.send(home, {
				kind: LinkMessageKind.Suspects, from: linkAddress, notes, isRelayed: false,
			} satisfies LinkMessage);
		}
	};

	const recordInstanceCrash = (incarnation: string) => {
		const nowMs = clock.readMonotonicMs();
		const taken = takeCrashedRequests(state, {incarnation, nowMs});

		if (taken.fingerprints.length === 0) {
			return;
		}

		state = recordCrash(taken.state, {fingerprints: taken.fingerprints, incarnation, nowMs});

		for (const fingerprint of taken.fingerprints) {
			log.warn('an instance crashed under a request', {
				id: parseInstanceId(incarnation), fingerprint, isQuarantined: getQuarantineDeadline(state, fingerprint, nowMs) !== undefined,
			});
		}

		sendSuspectNotes(taken.fingerprints);
	};

	const timer = setInterval(() => {
		sendSuspectNotes(listNearQuarantine(state).slice(-maxResentSuspects));
	}, resendIntervalMs);

	return {
		getQuarantineDeadline: exchange => state.suspects.size === 0
			? undefined
			: getQuarantineDeadline(state, getFingerprint(exchange), clock.readMonotonicMs()),
		recordBrokenConnection(exchange, instance, pieces) {
			const fingerprint = getFingerprint(exchange);
			log.info('a connection was lost under a request', {
				id: instance.held.record.id, requestId: exchange.requestId, fingerprint, pieces, parts: exchange.caller.prompt?.parts.map(({id}) => id),
			});
			state = recordConnectionLoss(state, {
				fingerprint, incarnation: formatIncarnation(instance.held.record), nowMs: clock.readMonotonicMs(),
			});
		},
		recordCompletion(exchange, instance, sentAtMs) {
			state = forgetConnectionLosses(state, {incarnation: formatIncarnation(instance.held.record), sentAtMs});

			if (state.suspects.size === 0) {
				return;
			}

			const fingerprint = getFingerprint(exchange);

			if (isSuspect(state, fingerprint)) {
				state = clearSuspect(state, fingerprint);
				log.info('a suspected request finished', {fingerprint});
				sendSuspectNotes([fingerprint]);
			}
		},
		recordUnreachable(instance) {
			recordInstanceCrash(formatIncarnation(instance.held.record));
		},
		applyRegistry({held}) {
			for (const incarnation of state.unconfirmed.keys()) {
				const record = held.get(parseInstanceId(incarnation))?.record;

				if (record === undefined || record.stage === InstanceStage.Gone || formatIncarnation(record) !== incarnation) {
					recordInstanceCrash(incarnation);
				}
			}
		},
		applySuspectNotes(notes) {
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

// A repeated request has the same target, organisation and body under another id. The hash does not reveal the prompt.
function computeFingerprint({request, organisation, body}: Exchange): string {
	return computeHashHex(JSON.stringify([request.method, request.url, organisation?.name, body.toString('latin1')]));
}

function formatIncarnation({id, incarnation}: {readonly id: string; readonly incarnation: number}): string {
	return `${id} ${incarnation}`;
}

function parseInstanceId(incarnation: string): string {
	return incarnation.slice(0, incarnation.lastIndexOf(' '));
}
