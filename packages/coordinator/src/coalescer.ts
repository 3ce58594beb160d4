/** Schedules work for a later turn of the event loop. */
export type Defer = (run: () => void) => void;

/**
Wraps a handler so that it is called at most once per turn of the event loop, with the latest value. A replica that replays its log after a
start thus does not publish versions that have already been superseded.

@example
```
const publish = createCoalescer(broadcast);
publish(older);
publish(newer); // `broadcast` is called once, with `newer`.
```
*/
export function createCoalescer<Value>(handle: (value: Value) => void, defer: Defer = setImmediate): (value: Value) => void {
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
