import {type Clock} from '@fescuestair/core';
import {
	applyCommand, createReplicatedState, decodeState, encodeState, type Command, type EncodedState, type ReplicatedState,
} from '@fescuestair/state';

/** The replicated state machine of one replica; also derives group time from the local monotonic clock. */
export type StateMachine = {
	readonly apply: (command: unknown) => unknown;
	readonly encode: () => unknown;
	readonly decode: (data: unknown) => void;
	readonly getState: () => ReplicatedState;
	/** Current group time: that of the newest command plus the local time since it was applied. */
	readonly readGroupTimeMs: () => number;
};

/**
Creates the state machine of a replica. Group time advances with monotonic clocks only, so a jump of a wall clock cannot
expire a claim early; a period without a leader only extends claims.

@example
```
const stateMachine = createStateMachine(clock);
stateMachine.apply({kind: CommandKind.Expire, atMs: stateMachine.readGroupTimeMs()});
```
*/
export function createStateMachine(clock: Clock): StateMachine {
	let state = createReplicatedState();
	let appliedAtMs = clock.readMonotonicMs();

	return {
		apply(command) {
			const result = applyCommand(state, command as Command);
			state = result.state;
			appliedAtMs = clock.readMonotonicMs();

			return result.answer;
		},
		encode: () => encodeState(state),
		decode(data) {
			state = decodeState(data as EncodedState);
			appliedAtMs = clock.readMonotonicMs();
		},
		getState: () => state,
		readGroupTimeMs: () => state.timeMs + (clock.readMonotonicMs() - appliedAtMs),
	};
}
