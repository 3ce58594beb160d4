import {type Clock} from './clock.js';
import {createSubject} from './subject.js';

/** Result of a pure transition: the next state and the effects to perform. */
export type Step<State, Effect> = {
	readonly state: State;
	readonly effects: readonly Effect[];
};

export type ActorOptions<State, Message, Effect> = {
	readonly initialState: State;
	readonly clock: Clock;
	/** Pure: no I/O, no clock, no randomness. */
	readonly transition: (state: State, message: Message, nowMs: number) => Step<State, Effect>;
	/** Performs one effect; may send further messages to the actor. */
	readonly perform: (effect: Effect, state: State) => void;
	/** Called once, with the error that ended the actor; later messages are ignored. */
	readonly onFailure: (error: unknown) => void;
};

/** Owns its state; the state changes only through messages. */
export type Actor<State, Message> = {
	readonly send: (message: Message) => void;
	readonly getState: () => State;
	readonly stop: () => void;
};

/**
Creates an actor: a mailbox whose messages are handled one at a time by a pure transition.

@example
```
const counter = createActor({
	initialState: 0,
	clock,
	transition: (state, message: number) => ({state: state + message, effects: []}),
	perform() {},
	onFailure: error => { throw error; },
});
counter.send(2);
```
*/
export function createActor<State, Message, Effect>(options: ActorOptions<State, Message, Effect>): Actor<State, Message> {
	const {initialState, clock, transition, perform, onFailure} = options;
	const mailbox = createSubject<Message>();
	const pendingMessages: Message[] = [];
	let state = initialState;
	let isDispatching = false;

	let hasFailed = false;

	const handleMessage = (message: Message) => {
		const step = transition(state, message, clock.readMonotonicMs());
		state = step.state;

		for (const effect of step.effects) {
			perform(effect, state);
		}
	};

	// After an error the state and the performed effects may not match, so the first error ends the actor.
	const handleMessageOrFail = (message: Message) => {
		if (hasFailed) {
			return;
		}

		try {
			handleMessage(message);
		} catch (error) {
			hasFailed = true;
			onFailure(error);
		}
	};

	void mailbox.stream.observe(handleMessageOrFail);

	return {
		send(message) {
			pendingMessages.push(message);

			// A message that is sent while another is handled is queued, so transitions never nest.
			if (isDispatching) {
				return;
			}

			isDispatching = true;

			for (let next = pendingMessages.shift(); next !== undefined; next = pendingMessages.shift()) {
				mailbox.push(next);
			}

			isDispatching = false;
		},
		getState: () => state,
		stop() {
			mailbox.end();
		},
	};
}
