/** Where an event stands after the one before it. */
export enum EventOrder {
	/** It goes on. */
	After = 'after',
	/** It has the same id. */
	Same = 'same',
	/** Its id is lower: the run starts over. */
	Before = 'before',
}

const decimalPattern = /^\d+$/v;

/**
Compares the id of an event with that of the event before it. Decimal ids have to grow; of other ids it can only be told that they differ.

@example
```
compareEventIds('9', '10'); //=> EventOrder.After
compareEventIds('9', '1'); //=> EventOrder.Before
```
*/
export function compareEventIds(previous: string, next: string): EventOrder {
	if (!decimalPattern.test(previous) || !decimalPattern.test(next)) {
		return previous === next ? EventOrder.Same : EventOrder.After;
	}

	const difference = BigInt(next) - BigInt(previous);

	if (difference === 0n) {
		return EventOrder.Same;
	}

	return difference > 0n ? EventOrder.After : EventOrder.Before;
}
