import test from 'ava';
import {
	ContinuationObstacle, describeContinuationObstacle, findContinuationObstacle, type StreamOrigin,
} from '../../index.js';

const v1: StreamOrigin = {service: 'app', softwareVersion: 'v1'};
const unknown: StreamOrigin = {service: 'app', softwareVersion: undefined};

for (const [description, origin, successor, obstacle] of [
	['the version that began it', v1, v1, undefined],
	['another version', v1, {...v1, softwareVersion: 'v1.1'}, ContinuationObstacle.OtherVersion],
	['a version that differs in case', v1, {...v1, softwareVersion: 'V1'}, ContinuationObstacle.OtherVersion],
	['an instance that names no version', v1, unknown, ContinuationObstacle.UnknownVersion],
	['the same version of another service', v1, {...v1, service: 'other'}, ContinuationObstacle.OtherService],
	['a version, where no record of the stream is found', undefined, v1, ContinuationObstacle.UnknownOrigin],
	['a version, where the one that began it is not known', unknown, v1, ContinuationObstacle.UnknownOrigin],
	['an instance that names no version, where the one that began it is not known', unknown, unknown, ContinuationObstacle.UnknownOrigin],
] as const) {
	test(`a stream ${obstacle === undefined ? 'goes on' : 'does not go on'} at ${description}`, t => {
		t.is(findContinuationObstacle(origin, successor), obstacle);
	});
}

test('each obstacle has a description', t => {
	for (const obstacle of Object.values(ContinuationObstacle)) {
		t.truthy(describeContinuationObstacle(obstacle));
	}
});
