/** Puts work off to a later turn of the event loop. */
export type Defer = (run: () => void) => void;

/**
Wraps a handler so that, of all values that come within one turn of the event loop, it gets the newest alone. Answers the load pattern
of a replica that replays its log after a start: a version that has been replaced already is told to nobody.

@example
```
const publish = createNewestOnly(tellEveryone);
publish(older);
publish(newer); // `tellEveryone` is called once, with `newer`.
```
*/
export function createNewestOnly<Value>(handle: (value: Value) => void, defer: Defer = setImmediate): (value: Value) => void {
	let pending: {readonly value: Value} | undefined;

	return value => {
		const isDeferred = pending !== undefined;
		pending = {value};

		if (isDeferred) {
			return;
		}

		defer(() => {
			const newest = pending!.value;
			pending = undefined;
			handle(newest);
		});
	};
}
