/** What keeps cached parts apart. */
export type PartSalt = {
	/** An isolated organisation, or `undefined` for all that share. */
	readonly isolatedOrganisation: string | undefined;
	readonly model: string;
	readonly weightVersion: number;
};

const sharedWall = 'shared';
const isolatedWall = 'only-';

/**
Formats a salt: parts made for other weights or behind another wall are never found under it.

@example
```
formatSalt({isolatedOrganisation: undefined, model: 'guide', weightVersion: 2}); //=> 'shared/guide/2'
```
*/
export function formatSalt({isolatedOrganisation, model, weightVersion}: PartSalt): string {
	const wall = isolatedOrganisation === undefined ? sharedWall : isolatedWall + encodeURIComponent(isolatedOrganisation);

	return `${wall}/${encodeURIComponent(model)}/${weightVersion}`;
}

/** Parses a salt; `undefined` where it is none of the system's own. */
export function parseSalt(text: string): PartSalt | undefined {
	const [wall, model, version, ...rest] = text.split('/');

	if (wall === undefined || model === undefined || version === undefined || rest.length > 0 || !/^\d+$/v.test(version)) {
		return undefined;
	}

	if (wall !== sharedWall && !wall.startsWith(isolatedWall)) {
		return undefined;
	}

	return {
		isolatedOrganisation: wall === sharedWall ? undefined : decodeURIComponent(wall.slice(isolatedWall.length)),
		model: decodeURIComponent(model),
		weightVersion: Number(version),
	};
}
