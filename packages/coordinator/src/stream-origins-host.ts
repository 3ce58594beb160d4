import {isObjectWith, type Clock} from '@fescuestair/core';
import {isName, LinkMessageKind, type LinkCommands} from '@fescuestair/protocol';
import {type Logger, type PrometheusMetrics} from '@fescuestair/runtime';
import {type SegmentStore} from '@fescuestair/storage';
import {
	createOriginTable, decodeOriginNote, encodeOriginNote, isOriginNotes,
} from '@fescuestair/streams';
import {createOriginWriter, type OriginWriterOptions} from './origin-writer.js';

export type StreamOriginsHostOptions = {
	readonly clock: Clock;
	readonly commands: LinkCommands;
	readonly log: Pick<Logger, 'info' | 'warn'>;
	readonly metrics: Pick<PrometheusMetrics, 'registerGauge'>;
	readonly store: Pick<SegmentStore, 'load' | 'append' | 'countBytes' | 'close'>;
	readonly delay?: OriginWriterOptions['delay'];
};

export type StreamOriginsHost = {
	/** Resolves once what is left was written, or could not be. */
	readonly stop: () => Promise<void>;
};

/**
Keeps what gateways report about the origins of streams, and answers their questions. Records are written to the disk after they were taken; until those of the process
before have been read, questions are answered with an error, so that callers may return.

@example
```
const host = createStreamOriginsHost({clock, commands, log, metrics, store});
await host.stop();
```
*/
export function createStreamOriginsHost({clock, commands, log, metrics, store, delay}: StreamOriginsHostOptions): StreamOriginsHost {
	const table = createOriginTable();
	const writer = createOriginWriter({
		clock, log, store, table, delay,
	});

	commands.registerCommand(LinkMessageKind.RecordStreamOrigins, isObjectWith({origins: isOriginNotes}), ({origins}) => {
		const nowMs = clock.readMonotonicMs();

		for (const note of origins) {
			const [streamId] = note;

			if (table.record(streamId, decodeOriginNote(note, nowMs), nowMs)) {
				writer.add(streamId);
			}
		}

		return true;
	});
	commands.registerCommand(LinkMessageKind.FindStreamOrigin, isObjectWith({streamId: isName}), ({streamId, reply}) => {
		if (!writer.hasLoaded()) {
			reply?.({kind: 'error', message: 'the origins of streams are being loaded'});

			return true;
		}

		const nowMs = clock.readMonotonicMs();
		const recorded = table.get(streamId, nowMs);
		reply?.({kind: 'stream_origins', origins: recorded === undefined ? [] : [encodeOriginNote(streamId, recorded, nowMs)]});

		return true;
	});
	metrics.registerGauge('stream_origins_held', 'Streams that callers may still take up again, whose software version is known here', table.count);
	metrics.registerGauge('stream_origins_dropped_total', 'Records of the software versions of streams that were dropped early for lack of room', table.countDropped);
	metrics.registerGauge('stream_origins_unsaved', 'Records of the software versions of streams that are not on the disk yet', writer.countUnsaved);
	metrics.registerGauge('stream_origins_disk_bytes', 'Bytes of the files that hold the software versions of streams', store.countBytes);
	void writer.load();

	return {
		async stop() {
			await writer.stop();
			await store.close();
		},
	};
}
