import {BaseError} from './errors.js';

/** A problem in settings or in a declaration, with its location. */
export type Finding = {
	/** Location: a command-line flag, an environment variable, `file:line`, or the path of a field in a configuration. */
	readonly place: string;
	readonly message: string;
};

/**
@example
```
createFinding('presets.json:12', 'weight must be from 0 to 1');
```
*/
export function createFinding(place: string, message: string): Finding {
	return {place, message};
}

/**
Formats findings as `place: message`, one per line.

@example
```
formatFindings([{place: '--listen', message: 'is missing'}]);
//=> '--listen: is missing'
```
*/
export function formatFindings(findings: readonly Finding[]): string {
	return findings.map(finding => `${finding.place}: ${finding.message}`).join('\n');
}

/**
Indents each line, for a part of a text below its heading.

@example
```
formatIndented('a\nb'); //=> '  a\n  b'
```
*/
export function formatIndented(text: string): string {
	return text.split('\n').map(line => `  ${line}`).join('\n');
}

/** Reports several findings in one error. */
export class FindingsError extends BaseError {
	constructor(readonly findings: readonly Finding[]) {
		super('findings', formatFindings(findings));
	}
}
