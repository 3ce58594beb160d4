import {type Clock} from './clock.js';
import {createSubject} from './subject.js';

/** What a pure transition returns: the next state and the effects to carry out. */
export type Step<State, Effect> = {
	readonly state: State;
	readonly effects: readonly Effect[];
};

export type TaskOptions<State, Message, Effect> = {
	readonly initial: State;
	readonly clock: Clock;
	/** Pure: no I/O, no clock, no randomness. */
	readonly transition: (state: State, message: Message, nowMs: number) => Step<State, Effect>;
	/** Carries out one effect; it may send further messages. */
	readonly perform: (effect: Effect, state: State) => void;
	/** Called once with the error that ended the task. */
	readonly onFailure: (error: unknown) => void;
};

/** A task owns its state; others reach it by messages alone. */
export type Task<State, Message> = {
	readonly send: (message: Message) => void;
	readonly getState: () => State;
	readonly stop: () => void;
};

/**
Creates a task: a mailbox whose messages pass one at a time through a pure transition.

@example
```
const counter = createTask({
	initial: 0,
	clock,
	transition: (state, message: number) => ({state: state + message, effects: []}),
	perform() {},
	onFailure: error => { throw error; },
});
counter.send(2);
```
*/
export function createTask<State, Message, Effect>(options: TaskOptions<State, Message, Effect>): Task<State, Message> {
	const {initial, clock, transition, perform, onFailure} = options;
	const mailbox = createSubject<Message>();
	const waiting: Message[] = [];
	let state = initial;
	let isBusy = false;

	let hasFailed = false;

	const handle = (message: Message) => {
		const step = transition(state, message, clock.readMonotonicMs());
		state = step.state;

		for (const effect of step.effects) {
			perform(effect, state);
		}
	};

	// A half-done transition must not be followed by another: the first error ends the task.
	const handleOrFail = (message: Message) => {
		if (hasFailed) {
			return;
		}

		try {
			handle(message);
		} catch (error) {
			hasFailed = true;
			onFailure(error);
		}
	};

	void mailbox.stream.observe(handleOrFail);

	return {
		send(message) {
			waiting.push(message);

			// A message sent while another is handled waits its turn, so transitions never nest.
			if (isBusy) {
				return;
			}

			isBusy = true;

			for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
				mailbox.push(next);
			}

			isBusy = false;
		},
		getState: () => state,
		stop() {
			mailbox.end();
		},
	};
}
