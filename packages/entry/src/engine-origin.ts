import {type MemberRecord} from '@fescuestair/membership';
import {type UpstreamDetails} from '@fescuestair/protocol';
import {findContinuationObstacle, type StreamOrigin} from '@fescuestair/streams';

/**
Tells what writes the answers of an engine.

@example
```
describeEngineOrigin(record, 'guide'); //=> {service: 'guide', softwareVersion: '1.4'}
```
*/
export function describeEngineOrigin({details}: Pick<MemberRecord, 'details'>, model: string): StreamOrigin {
	return {service: model, softwareVersion: (details as UpstreamDetails | undefined)?.softwareVersion};
}

/** Whether an engine may run a prompt, or continue its answer if that has begun. */
export function canContinueAnswer(record: Pick<MemberRecord, 'details'>, {model, begunBy}: {readonly model: string; readonly begunBy?: StreamOrigin}): boolean {
	return begunBy === undefined || findContinuationObstacle(begunBy, describeEngineOrigin(record, model)) === undefined;
}
