import {type Clock} from '@fescuestair/core';
import {
	applyCommand, createReplicatedState, decodeState, encodeState, type Command, type EncodedState, type ReplicatedState,
} from '@fescuestair/state';

/** Holds the replicated state and turns local time into group time. */
export type StateHost = {
	readonly apply: (command: unknown) => unknown;
	readonly encode: () => unknown;
	readonly decode: (data: unknown) => void;
	readonly getState: () => ReplicatedState;
	/** Group time now: that of the newest command plus what has passed here since. */
	readonly readGroupMs: () => number;
};

/**
Creates the host of a replica's state. Group time advances with monotonic clocks alone, so that a wall clock that jumps
ends no claim early; a time without leader only makes claims last longer.

@example
```
const host = createStateHost(clock);
host.apply({kind: CommandKind.Expire, atMs: host.readGroupMs()});
```
*/
export function createStateHost(clock: Clock): StateHost {
	let state = createReplicatedState();
	let appliedAtMs = clock.readMonotonicMs();

	return {
		apply(command) {
			const applied = applyCommand(state, command as Command);
			state = applied.state;
			appliedAtMs = clock.readMonotonicMs();

			return applied.answer;
		},
		encode: () => encodeState(state),
		decode(data) {
			state = decodeState(data as EncodedState);
			appliedAtMs = clock.readMonotonicMs();
		},
		getState: () => state,
		readGroupMs: () => state.timeMs + (clock.readMonotonicMs() - appliedAtMs),
	};
}
