import test from 'ava';
import {HealthEvent} from '@fescuestair/routing';
import {RunEvidence, RunFault} from '@fescuestair/streams';
import {AttemptCompletion} from '../../attempt.js';
import {classifyRun} from '../../start-run.js';

const complete = {end: AttemptCompletion.Complete, isUnreachable: false, cancelledFor: undefined};
const incomplete = {...complete, end: AttemptCompletion.Incomplete};

test('a run is an answer where it completes one, and a failure of its instance with each fault', t => {
	t.is(classifyRun(complete, undefined), HealthEvent.Answered);

	// Guards against instances that answer each request to continue a stream with nothing, and count as healthy.
	for (const fault of Object.values(RunFault)) {
		t.is(classifyRun(complete, fault), HealthEvent.Failed, `${fault}`);
		t.is(classifyRun(incomplete, fault), HealthEvent.Failed, `${fault}`);
	}
});

test('a run that the gateway ended says nothing of its instance, unless it was for what the instance sent', t => {
	for (const cancelledFor of Object.values(RunEvidence)) {
		const expected = cancelledFor === RunEvidence.InvalidAnswer ? HealthEvent.Failed : undefined;
		t.is(classifyRun({...incomplete, cancelledFor}, RunFault.Incomplete), expected, `${cancelledFor}`);
	}
});

test('an instance that takes no connection is unreachable, and a run that was not begun says nothing', t => {
	t.is(classifyRun({...complete, end: AttemptCompletion.NotRun, isUnreachable: true}, undefined), HealthEvent.Unreachable);
	t.is(classifyRun({...complete, end: AttemptCompletion.NotRun}, undefined), undefined);
});
