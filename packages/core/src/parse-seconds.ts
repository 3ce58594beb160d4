const msPerSecond = 1000;

/**
Parses seconds as HTTP headers have them, with fractions, into ms; not a number where the text holds anything else.

@example
```
parseSeconds('2.50'); //=> 2500
parseSeconds('soon'); //=> NaN
```
*/
export function parseSeconds(text: string): number {
	// An empty text is no number either, though it would convert to 0.
	return Number.parseFloat(/^-?\d+(?:\.\d+)?$/v.exec(text)?.[0] ?? '') * msPerSecond;
}
