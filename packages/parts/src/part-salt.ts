/** What cached parts must have in common for a request to use them. */
export type PartSalt = {
	/** The isolated organisation that has the parts to itself; `undefined` for parts that all others share. */
	readonly isolatedOrganisation: string | undefined;
	readonly model: string;
	readonly weightVersion: number;
};

const sharedScope = 'shared';
const isolatedScopePrefix = 'only-';

/**
Formats the salt under which parts are cached, so that no look-up crosses weight versions or the boundary of an isolated organisation.

@example
```
formatSalt({isolatedOrganisation: undefined, model: 'guide', weightVersion: 2}); //=> 'shared/guide/2'
```
*/
export function formatSalt({isolatedOrganisation, model, weightVersion}: PartSalt): string {
	const scope = isolatedOrganisation === undefined ? sharedScope : isolatedScopePrefix + encodeURIComponent(isolatedOrganisation);

	return `${scope}/${encodeURIComponent(model)}/${weightVersion}`;
}

/** Parses a salt; `undefined` where the text has another format. */
export function parseSalt(text: string): PartSalt | undefined {
	const [scope, model, version, ...rest] = text.split('/');

	if (scope === undefined || model === undefined || version === undefined || rest.length > 0 || !/^\d+$/v.test(version)) {
		return undefined;
	}

	if (scope !== sharedScope && !scope.startsWith(isolatedScopePrefix)) {
		return undefined;
	}

	return {
		isolatedOrganisation: scope === sharedScope ? undefined : decodeURIComponent(scope.slice(isolatedScopePrefix.length)),
		model: decodeURIComponent(model),
		weightVersion: Number(version),
	};
}
