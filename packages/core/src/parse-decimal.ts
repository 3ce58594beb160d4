const msPerSecond = 1000;

/**
Parses a decimal number of seconds, as in HTTP headers, and returns milliseconds; `NaN` if the text is anything else.

@example
```
parseSecondsToMs('2.50'); //=> 2500
parseSecondsToMs('soon'); //=> NaN
```
*/
export function parseSecondsToMs(text: string): number {
	return parseDecimal(text) * msPerSecond;
}

/**
Parses a decimal number, as in HTTP headers; `NaN` if the text is anything else.

@example
```
parseDecimal('3.3'); //=> 3.3
parseDecimal('1e3'); //=> NaN
```
*/
export function parseDecimal(text: string): number {
	// `Number('')` is 0, so the text is matched first and parsed with `parseFloat`, which returns NaN for an empty string.
	return Number.parseFloat(/^-?\d+(?:\.\d+)?$/v.exec(text)?.[0] ?? '');
}
