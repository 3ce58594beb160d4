import {Stream, type Sink} from 'most';

/** A stream of the `most` library whose events are emitted by calls of `push`. */
export type Subject<T> = {
	readonly stream: Stream<T>;
	readonly push: (value: T) => void;
	readonly end: () => void;
};

/**
Creates a subject; values that are pushed while nobody observes the stream are dropped.

@example
```
const subject = createSubject<number>();
void subject.stream.observe(value => console.log(value));
subject.push(1);
```
*/
export function createSubject<T>(): Subject<T> {
	const sinks = new Set<Sink<T>>();
	const stream = new Stream<T>({
		run(sink) {
			sinks.add(sink);

			return {
				dispose() {
					sinks.delete(sink);
				},
			};
		},
	});

	return {
		stream,
		push(value) {
			for (const sink of sinks) {
				sink.event(Date.now(), value);
			}
		},
		end() {
			for (const sink of sinks) {
				sink.end(Date.now());
			}
		},
	};
}
