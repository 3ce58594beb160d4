/** What wrote events of a stream. */
export type StreamOrigin = {
	readonly service: string;
	/** Version of the instance's software; `undefined` where it is not known. Not to be confused with the version of a model's weights. */
	readonly softwareVersion: string | undefined;
};

/** Why a run may not continue a stream. */
export enum ContinuationObstacle {
	/** It is not known what began the stream. */
	UnknownOrigin = 'unknown_origin',
	/** An instance of another service began the stream. */
	OtherService = 'other_service',
	/** The software version of the instance that is to continue the stream is not known. */
	UnknownVersion = 'unknown_version',
	/** Another version of the software began the stream. */
	OtherVersion = 'other_version',
}

/**
Finds out why a run may not continue a stream; `undefined` where it may. What two versions of the software write does not fit together, and instances do not check it, so
anything that is not known counts as different.

@example
```
findContinuationObstacle({service: 'app', softwareVersion: 'v1'}, {service: 'app', softwareVersion: 'v2'}); //=> ContinuationObstacle.OtherVersion
findContinuationObstacle(undefined, {service: 'app', softwareVersion: 'v2'}); //=> ContinuationObstacle.UnknownOrigin
```
*/
export function findContinuationObstacle(origin: StreamOrigin | undefined, successor: StreamOrigin): ContinuationObstacle | undefined {
	if (origin?.softwareVersion === undefined) {
		return ContinuationObstacle.UnknownOrigin;
	}

	if (origin.service !== successor.service) {
		return ContinuationObstacle.OtherService;
	}

	if (successor.softwareVersion === undefined) {
		return ContinuationObstacle.UnknownVersion;
	}

	return origin.softwareVersion === successor.softwareVersion ? undefined : ContinuationObstacle.OtherVersion;
}

/** Describes an obstacle for the caller and the log. */
export function describeContinuationObstacle(obstacle: ContinuationObstacle): string {
	return descriptions[obstacle];
}

const descriptions: Readonly<Record<ContinuationObstacle, string>> = {
	[ContinuationObstacle.UnknownOrigin]: 'it is not known which software version began the stream',
	[ContinuationObstacle.OtherService]: 'the stream was begun by another service',
	[ContinuationObstacle.UnknownVersion]: 'the software version of the instances is not known',
	[ContinuationObstacle.OtherVersion]: 'no instance of the software version that began the stream takes requests',
};
