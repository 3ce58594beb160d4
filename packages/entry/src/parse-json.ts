/** Parses JSON from an upstream; returns `undefined` if the text is not valid JSON. */
export function tryParseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}
