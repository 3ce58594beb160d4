import {type Clock} from '@fescuestair/core';
import {type InstanceRecord} from '@fescuestair/instances';
import {type StreamOrigin} from '@fescuestair/streams';
import {isConnectionProof} from './check-run-origin.js';
import {type InstancePool} from './instance-pool.js';

/** A stream, and the run that began it. */
export type BegunStream = {
	readonly streamId: string;
	/** The record by which the request was sent. */
	readonly record: InstanceRecord;
	/** When the connection of the run was opened, on the monotonic clock. */
	readonly openedAtMs: number;
	/** Until when its caller may take the stream up again. */
	readonly deadlineMs: number;
};

export type UnprovenOriginsOptions = {
	readonly clock: Clock;
	readonly instancePool: Pick<InstancePool, 'get'>;
	/** Called where a stream may have been begun by other software than its instance had announced. */
	readonly onDoubt: (stream: BegunStream, origin: StreamOrigin) => void;
};

/** Streams whose origin was taken from an announcement that may be of an earlier process than the one that began them. */
export type UnprovenOrigins = {
	readonly add: (stream: BegunStream) => void;
	/** Looks at what has been heard of the instances since. */
	readonly check: () => void;
	readonly count: () => number;
};

enum Standing {
	Unproven,
	/** The instance had not restarted, or with the same software. */
	Certain,
	/** The instance is back with other software, and the stream may be by either. */
	Doubtful,
}

/**
Creates an empty list of streams whose origin is not proved yet. A stream leaves it once its instance is heard again late enough, which takes a few seconds.

@example
```
const unproven = createUnprovenOrigins({clock, instancePool, onDoubt: (stream, origin) => origins.record(stream.streamId, origin, stream.deadlineMs)});
```
*/
export function createUnprovenOrigins({clock, instancePool, onDoubt}: UnprovenOriginsOptions): UnprovenOrigins {
	const streams = new Set<BegunStream>();

	const classify = ({record, openedAtMs}: BegunStream): Standing => {
		const held = instancePool.get(record.id)?.held;

		if (held === undefined || held.record.incarnation === record.incarnation) {
			return isConnectionProof(held, {incarnation: record.incarnation, openedAtMs}) ? Standing.Certain : Standing.Unproven;
		}

		return held.record.softwareVersion === record.softwareVersion ? Standing.Certain : Standing.Doubtful;
	};

	return {
		add(stream) {
			if (classify(stream) !== Standing.Certain) {
				streams.add(stream);
			}
		},
		check() {
			const nowMs = clock.readMonotonicMs();

			for (const stream of streams) {
				const standing = classify(stream);

				if (standing === Standing.Doubtful) {
					onDoubt(stream, {service: stream.record.service, softwareVersion: undefined});
				}

				if (standing !== Standing.Unproven || nowMs >= stream.deadlineMs) {
					streams.delete(stream);
				}
			}
		},
		count: () => streams.size,
	};
}
