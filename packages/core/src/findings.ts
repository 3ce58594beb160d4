import {BaseError} from './errors.js';

/** One problem found in settings or in a declaration, with the place it stands at. */
export type Finding = {
	/** A flag, or `file:line`. */
	readonly place: string;
	readonly message: string;
};

/**
Creates a finding.

@example
```
createFinding('presets.json:12', 'weight must be from 0 to 1');
```
*/
export function createFinding(place: string, message: string): Finding {
	return {place, message};
}

/**
Formats findings, one a line, as `place: message`.

@example
```
formatFindings([{place: '--listen', message: 'is missing'}]);
//=> '--listen: is missing'
```
*/
export function formatFindings(findings: readonly Finding[]): string {
	return findings.map(finding => `${finding.place}: ${finding.message}`).join('\n');
}

/** Several findings reported together. */
export class FindingsError extends BaseError {
	constructor(readonly findings: readonly Finding[]) {
		super('findings', formatFindings(findings));
	}
}
