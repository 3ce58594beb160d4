import {InvariantError} from './errors.js';

/**
Throws an `InvariantError` unless the condition holds.

@example
```
invariant(offset >= 0, 'offset must not be negative');
```
*/
export function invariant(condition: unknown, message: string): asserts condition {
	if (!condition) {
		throw new InvariantError(message);
	}
}
