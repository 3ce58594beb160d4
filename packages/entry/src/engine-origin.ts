import {type MemberRecord} from '@fescuestair/membership';
import {type UpstreamDetails} from '@fescuestair/protocol';
import {findContinuationObstacle, type StreamOrigin} from '@fescuestair/streams';

/**
Tells what writes the answers of an engine. What the engine names in an answer is of the process that gives it; the announcement may be of one before it under the same id.

@example
```
describeEngineOrigin(record, {model: 'guide'}); //=> {service: 'guide', softwareVersion: '1.4'}
```
*/
export function describeEngineOrigin({details}: Pick<MemberRecord, 'details'>, {model, answeredVersion}: {
	readonly model: string;
	/** The version that the answer names; `undefined` where it names none. */
	readonly answeredVersion?: string | undefined;
}): StreamOrigin {
	return {service: model, softwareVersion: answeredVersion ?? (details as UpstreamDetails | undefined)?.softwareVersion};
}

/** Whether an engine may run a prompt, or continue its answer if that has begun. */
export function canContinueAnswer(record: Pick<MemberRecord, 'details'>, {model, begunBy, answeredVersion}: {
	readonly model: string; readonly begunBy?: StreamOrigin | undefined; readonly answeredVersion?: string | undefined;
}): boolean {
	return begunBy === undefined || findContinuationObstacle(begunBy, describeEngineOrigin(record, {model, answeredVersion})) === undefined;
}
