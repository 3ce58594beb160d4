/** What cached parts must have in common for a request to use them. */
export type PartSalt = {
	/** The isolated organisation that has the parts to itself; `undefined` for parts that all others share. */
	readonly isolatedOrganisation: string | undefined;
	readonly model: string;
	readonly weightVersion: number;
	/** Regions that the parts must not leave, in the order of their names; absent where they may be anywhere. */
	readonly allowedRegions?: readonly string[] | undefined;
};

const sharedScope = 'shared';
const isolatedScopePrefix = 'only-';
const regionsPrefix = 'in-';
/** Is escaped within the name of a region. */
const regionSeparator = '+';

/**
Formats the salt under which parts are cached, so that no look-up crosses weight versions, the boundary of an isolated organisation, or that of the regions which requests allow.

@example
```
formatSalt({isolatedOrganisation: undefined, model: 'guide', weightVersion: 2}); //=> 'shared/guide/2'
```
*/
export function formatSalt({isolatedOrganisation, model, weightVersion, allowedRegions}: PartSalt): string {
	const scope = isolatedOrganisation === undefined ? sharedScope : isolatedScopePrefix + encodeURIComponent(isolatedOrganisation);

	const regions = allowedRegions === undefined ? '' : `/${regionsPrefix}${allowedRegions.map(region => encodeURIComponent(region)).join(regionSeparator)}`;

	return `${scope}/${encodeURIComponent(model)}/${weightVersion}${regions}`;
}

/** Parses a salt; `undefined` where the text has another format. */
export function parseSalt(text: string): PartSalt | undefined {
	const [scope, model, version, regions, ...rest] = text.split('/');

	if (scope === undefined || model === undefined || version === undefined || rest.length > 0 || !/^\d+$/v.test(version)) {
		return undefined;
	}

	if ((scope !== sharedScope && !scope.startsWith(isolatedScopePrefix)) || regions?.startsWith(regionsPrefix) === false) {
		return undefined;
	}

	return {
		isolatedOrganisation: scope === sharedScope ? undefined : decodeURIComponent(scope.slice(isolatedScopePrefix.length)),
		model: decodeURIComponent(model),
		weightVersion: Number(version),
		...(regions !== undefined && {allowedRegions: regions.slice(regionsPrefix.length).split(regionSeparator).map(region => decodeURIComponent(region))}),
	};
}
