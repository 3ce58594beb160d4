import {type Clock} from '@fescuestair/core';
import {
	callAndValidate, LinkMessageKind, requireValid, type LinkMessage,
} from '@fescuestair/protocol';
import {type Logger, type PrometheusMetrics} from '@fescuestair/runtime';
import {
	createOriginTable, decodeOriginNote, encodeOriginNote, isOriginNotes, type OriginNote, type RecordedOrigin, type StreamOrigin,
} from '@fescuestair/streams';
import {type Links} from '@fescuestair/transport';

export type StreamOriginsOptions = {
	readonly clock: Clock;
	readonly links: Pick<Links, 'send' | 'call'>;
	readonly log: Pick<Logger, 'info'>;
	readonly metrics: Pick<PrometheusMetrics, 'registerGauge'>;
	/** Link addresses of the coordinators that keep the records of this gateway. */
	readonly listRecordKeepers: () => readonly string[];
	/** Link addresses of all coordinators. */
	readonly listCoordinators: () => readonly string[];
	/** Calls a function once after a delay; returns a function that cancels this. */
	readonly delay?: (callback: () => void, delayMs: number) => () => void;
};

/** How it became known what began a stream. */
export enum OriginSource {
	/** This gateway brought the first event, or found it out before. */
	Own = 'own',
	Coordinator = 'coordinator',
	/** No daemon that answered knows it. */
	None = 'none',
}

export type OriginFinding = {
	readonly source: OriginSource;
	/** `undefined` where no daemon that answered knows it. */
	readonly recorded: RecordedOrigin | undefined;
	/** Number of coordinators that were asked. */
	readonly asked: number;
	/** Number of coordinators that did not answer in time. */
	readonly unanswered: number;
	/** Whether a coordinator may know it that did not answer, or that this gateway has not heard of yet. */
	readonly isIncomplete: boolean;
};

/** What began the streams that callers may take up again: records it, keeps it at two coordinators as well, and finds it. */
export type StreamOrigins = {
	/** Records what began a stream that its caller waits for until the deadline. */
	readonly record: (streamId: string, origin: StreamOrigin, deadlineMs: number) => void;
	/** Finds what began a stream; asks the coordinators if this gateway does not know. */
	readonly find: (streamId: string) => Promise<OriginFinding>;
	/** Sends all records to a coordinator that lacks them, such as one that has just started. */
	readonly repeatRecords: (address: string) => void;
	/** Sends what is left. */
	readonly stop: () => void;
};

/** Records of so short a time share a message: a message costs far more than a record. */
const sendDelayMs = 20;
/** Records in one message. */
const maxNotesPerMessage = 1000;
const lookUpTimeoutMs = 400;
/**
Until it has run for so long, a gateway may lack coordinators other than its seeds. They greet one another each 500 ms, and a gateway asks one of them for the others
each 1500 ms.
*/
const discoveryMs = 5000;

/**
Creates the records of a gateway. The first event of a stream does not wait for them: the streams that began in the last few ms before this process ends cannot go on elsewhere.

@example
```
const origins = createStreamOrigins({clock, links, log, metrics, listRecordKeepers, listCoordinators});
origins.record('r-1', {service: 'app', softwareVersion: 'v1'}, deadlineMs);
const {recorded} = await origins.find('r-1');
```
*/
export function createStreamOrigins({clock, links, log, metrics, listRecordKeepers, listCoordinators, delay = startDelay}: StreamOriginsOptions): StreamOrigins {
	const table = createOriginTable();
	const unsent = new Set<string>();
	const discoveredAtMs = clock.readMonotonicMs() + discoveryMs;
	let cancelSend: (() => void) | undefined;

	const encode = (streamIds: Iterable<string>): readonly OriginNote[] => {
		const nowMs = clock.readMonotonicMs();

		return [...streamIds].flatMap(streamId => {
			const recorded = table.get(streamId, nowMs);

			return recorded === undefined ? [] : [encodeOriginNote(streamId, recorded, nowMs)];
		});
	};

	const send = (address: string, notes: readonly OriginNote[]) => {
		for (let start = 0; start < notes.length; start += maxNotesPerMessage) {
			links.send(address, {kind: LinkMessageKind.RecordStreamOrigins, origins: notes.slice(start, start + maxNotesPerMessage)} satisfies LinkMessage);
		}
	};

	const sendUnsent = () => {
		cancelSend = undefined;
		const notes = encode(unsent);
		unsent.clear();

		for (const address of listRecordKeepers()) {
			send(address, notes);
		}
	};

	const requestOrigin = async (address: string, streamId: string): Promise<RecordedOrigin | undefined> => {
		const reply = await callAndValidate(links, {address, message: {kind: LinkMessageKind.FindStreamOrigin, streamId}, timeoutMs: lookUpTimeoutMs});
		const [note] = requireValid(reply.kind === 'stream_origins' ? reply.origins : undefined, isOriginNotes, address);

		return note && decodeOriginNote(note, clock.readMonotonicMs());
	};

	// Resolves with the first origin that a coordinator knows, or once all have answered or failed to.
	const requestFromCoordinators = async (streamId: string): Promise<OriginFinding> => new Promise(resolve => {
		const addresses = listCoordinators();
		let pending = addresses.length;
		let unanswered = 0;

		const finishOne = () => {
			pending--;

			if (pending <= 0) {
				resolve({
					source: OriginSource.None, recorded: undefined, asked: addresses.length, unanswered, isIncomplete: unanswered > 0 || clock.readMonotonicMs() < discoveredAtMs,
				});
			}
		};

		const requestFrom = async (address: string) => {
			try {
				const recorded = await requestOrigin(address, streamId);

				if (recorded !== undefined) {
					resolve({
						source: OriginSource.Coordinator, recorded, asked: addresses.length, unanswered, isIncomplete: false,
					});
				}
			} catch (error) {
				unanswered++;
				log.info('a coordinator did not tell what began a stream', {address, streamId, reason: String(error)});
			}

			finishOne();
		};

		for (const address of addresses) {
			void requestFrom(address);
		}

		if (addresses.length === 0) {
			finishOne();
		}
	});

	metrics.registerGauge('stream_origins_held', 'Streams that callers may still take up again, whose software version is known here', table.count);
	metrics.registerGauge('stream_origins_dropped_total', 'Records of the software versions of streams that were dropped early for lack of room', table.countDropped);

	return {
		record(streamId, origin, deadlineMs) {
			const nowMs = clock.readMonotonicMs();
			table.record(streamId, {origin, begunAtMs: nowMs, deadlineMs}, nowMs);
			unsent.add(streamId);
			cancelSend ??= delay(sendUnsent, sendDelayMs);
		},
		async find(streamId) {
			const own = table.get(streamId, clock.readMonotonicMs());

			if (own !== undefined) {
				return {
					source: OriginSource.Own, recorded: own, asked: 0, unanswered: 0, isIncomplete: false,
				};
			}

			const finding = await requestFromCoordinators(streamId);

			// Kept, so that this gateway too can report it again to coordinators that lose it.
			if (finding.recorded !== undefined) {
				table.record(streamId, finding.recorded, clock.readMonotonicMs());
			}

			return finding;
		},
		repeatRecords(address) {
			const streamIds = [...table.list(clock.readMonotonicMs())].map(([streamId]) => streamId);

			if (streamIds.length > 0) {
				log.info('origins of streams are reported again', {address, streams: streamIds.length});
				send(address, encode(streamIds));
			}
		},
		stop() {
			if (cancelSend !== undefined) {
				cancelSend();
				sendUnsent();
			}
		},
	};
}

function startDelay(callback: () => void, delayMs: number): () => void {
	const timer = setTimeout(callback, delayMs);

	return () => {
		clearTimeout(timer);
	};
}
