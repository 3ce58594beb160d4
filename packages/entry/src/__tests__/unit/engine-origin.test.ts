import test from 'ava';
import {canContinueAnswer, describeEngineOrigin} from '../../engine-origin.js';

const model = 'guide';
const engineOf = (softwareVersion: string | undefined) => ({details: {softwareVersion}});
const begunBy = describeEngineOrigin(engineOf('1.4'), {model});

for (const [description, engine, input, expected] of [
	['any engine may begin an answer', engineOf(undefined), {model}, true],
	['an engine of the same software version continues an answer', engineOf('1.4'), {model, begunBy}, true],
	['an engine of another software version does not continue it', engineOf('1.5'), {model, begunBy}, false],
	['an engine that names no software version does not continue it', engineOf(undefined), {model, begunBy}, false],
	['an engine whose answer names the same software version continues it, whatever it has announced', engineOf('1.5'), {model, begunBy, answeredVersion: '1.4'}, true],
	['an engine whose answer names another software version does not continue it, whatever it has announced', engineOf('1.4'), {model, begunBy, answeredVersion: '1.5'}, false],
	['no engine continues what an engine without a software version began', engineOf('1.4'), {model, begunBy: describeEngineOrigin(engineOf(undefined), {model})}, false],
] as const) {
	test(description, t => {
		t.is(canContinueAnswer(engine, input), expected);
	});
}
