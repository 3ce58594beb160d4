import test from 'ava';
import {
	AnswerEnd, BodyFraming, EndMark, RunFault, decideAnswerEnd, describeRunFault, type BegunAnswer, type RunResult, type StreamResult,
} from '../../index.js';

const begun: BegunAnswer = {status: 200, framing: BodyFraming.Chunks, missingBytes: undefined};
const goodStream = {hasEvents: true, isInsideEvent: false, endMark: EndMark.None};
const goodRun: RunResult = {
	isComplete: true, status: 200, framing: BodyFraming.Chunks, eventFault: undefined, stream: goodStream,
};

/** Ways in which the run that is to continue a begun answer ends, and why it does not complete the answer. */
const laterRuns: ReadonlyArray<readonly [description: string, result: Partial<RunResult>, fault: RunFault | undefined, begun?: Partial<BegunAnswer>]> = [
	['goes on, and ends with its last chunk', {}, undefined],
	['goes on, and ends with its announced length', {framing: BodyFraming.Length}, undefined],
	['goes on, and ends with its connection', {framing: BodyFraming.Close}, RunFault.Unframed],
	['goes on where the answer ends with its connection too', {framing: BodyFraming.Close}, undefined, {framing: BodyFraming.Close}],
	['goes on, and makes all bytes that were announced', {framing: BodyFraming.Close}, undefined, {missingBytes: 0}],
	['goes on, and makes fewer bytes than were announced', {}, RunFault.OtherLength, {missingBytes: 7}],
	['goes on, and makes more bytes than were announced', {}, RunFault.OtherLength, {missingBytes: -7}],
	['is cut short', {isComplete: false}, RunFault.Incomplete],
	['gets no answer before the deadline', {
		isComplete: false, status: undefined, framing: undefined, stream: undefined,
	}, RunFault.Incomplete],
	['ends inside an event', {stream: {...goodStream, isInsideEvent: true}}, RunFault.InsideEvent],
	['ends without the event that ends an answer', {stream: {...goodStream, endMark: EndMark.Missing}}, RunFault.NoEndMark],
	['ends with the event that ends an answer, and its connection', {framing: BodyFraming.Close, stream: {...goodStream, endMark: EndMark.Seen}}, undefined],
	['sends nothing', {stream: {...goodStream, hasEvents: false}}, RunFault.NoEvent],
	['starts over', {eventFault: RunFault.StartedOver, isComplete: false}, RunFault.StartedOver],
	['stands still', {eventFault: RunFault.StoodStill, isComplete: false}, RunFault.StoodStill],
	['sends events without ids', {eventFault: RunFault.NoEventIds, isComplete: false}, RunFault.NoEventIds],
	['answers in another format', {eventFault: RunFault.Format, isComplete: false}, RunFault.Format],
	...[201, 204, 206, 300, 301, 304, 400, 401, 404, 408, 413, 421, 429, 500, 502, 503, 504].map(status => [
		`answers ${status}`, {status, stream: status < 300 ? goodStream : undefined}, RunFault.Status,
	] as const),
];

for (const [description, result, fault, begunChange] of laterRuns) {
	test(`a begun answer, and the run that continues it ${description}`, t => {
		const state = {...begun, ...begunChange};
		t.deepEqual(decideAnswerEnd({begun: state, canRepeat: false}, {...goodRun, ...result}), {end: fault === undefined ? AnswerEnd.Complete : AnswerEnd.Aborted, fault});
		t.deepEqual(decideAnswerEnd({begun: state, canRepeat: true}, {...goodRun, ...result}), {end: fault === undefined ? AnswerEnd.Complete : AnswerEnd.Repeat, fault});
	});
}

/** Lists all objects with one of the values for each key. */
function listCombinations<Shape>(values: {readonly [Key in keyof Shape]: ReadonlyArray<Shape[Key]>}): readonly Shape[] {
	let combinations: ReadonlyArray<Partial<Shape>> = [{}];

	for (const key of Object.keys(values) as Array<keyof Shape>) {
		combinations = combinations.flatMap(combination => values[key].map(value => ({...combination, [key]: value})));
	}

	return combinations as readonly Shape[];
}

const runs = listCombinations<RunResult>({
	isComplete: [true, false],
	status: [undefined, 200, 204, 206, 301, 404, 429, 500, 503],
	framing: [undefined, ...Object.values(BodyFraming)],
	eventFault: [undefined, RunFault.StartedOver, RunFault.OtherLength],
	stream: [undefined, ...listCombinations<StreamResult>({hasEvents: [true, false], isInsideEvent: [true, false], endMark: Object.values(EndMark)})],
});
const begunAnswers = listCombinations<BegunAnswer>({status: [200, 206], framing: Object.values(BodyFraming), missingBytes: [undefined, -3, 0, 3]});

// Each part of the proof that a run completes a begun answer.
const isProved = (state: BegunAnswer, {isComplete, status, framing, eventFault, stream}: RunResult) => {
	const isEndMarked = stream?.endMark === EndMark.Seen;

	return [
		isComplete,
		status === state.status,
		eventFault === undefined,
		stream?.isInsideEvent === false,
		stream?.endMark !== EndMark.Missing,
		isEndMarked || stream?.hasEvents === true,
		isEndMarked || state.framing !== BodyFraming.Chunks || framing !== BodyFraming.Close || state.missingBytes === 0,
		state.missingBytes === undefined || state.missingBytes === 0,
	].every(Boolean);
};

test('whatever the run, a begun answer is complete only where the run proves each part of it, and is aborted with a reason otherwise', t => {
	const outcomes = begunAnswers.flatMap(state => runs.map(run => ({isProved: isProved(state, run), ...decideAnswerEnd({begun: state, canRepeat: false}, run)})));
	t.true(outcomes.some(outcome => outcome.isProved));
	t.deepEqual(outcomes.filter(outcome => outcome.isProved !== (outcome.end === AnswerEnd.Complete)), []);
	t.deepEqual(outcomes.filter(outcome => !outcome.isProved && (outcome.end !== AnswerEnd.Aborted || outcome.fault === undefined)), []);
});

test('an answer that has not begun is that of its instance, failures included, and is never made from a run that was cut short', t => {
	const decide = (run: RunResult) => decideAnswerEnd({begun: undefined, canRepeat: false}, run);
	const isCut = ({isComplete, eventFault}: RunResult) => !isComplete || eventFault !== undefined;
	t.deepEqual(runs.filter(run => isCut(run) && decide(run).end !== AnswerEnd.Aborted), []);
	const failures = runs.filter(run => !isCut(run) && run.status !== undefined && run.status >= 500);
	t.deepEqual(failures.filter(run => decide(run).end !== AnswerEnd.Complete || decide(run).fault !== RunFault.Status), []);
	t.deepEqual(failures.filter(run => decideAnswerEnd({begun: undefined, canRepeat: true}, run).end !== AnswerEnd.Repeat), []);
	const finalAnswers = runs.filter(run => !isCut(run) && run.status !== undefined && run.status >= 300 && run.status < 500);
	t.deepEqual(finalAnswers.filter(run => decide(run).end !== AnswerEnd.Complete || decide(run).fault !== undefined), []);
});

test('an empty stream of one run is complete with a length or chunks, and not with the close of its connection', t => {
	const stream = {...goodStream, hasEvents: false};

	for (const [framing, fault] of [[BodyFraming.Chunks, undefined], [BodyFraming.Length, undefined], [BodyFraming.Close, RunFault.NoEvent]] as const) {
		t.is(decideAnswerEnd({begun: undefined, canRepeat: false}, {...goodRun, framing, stream}).fault, fault);
	}
});

test('each fault has a description of its own', t => {
	const faults = Object.values(RunFault);
	t.is(new Set(faults.map(fault => describeRunFault(fault))).size, faults.length);
});

for (const [description, result, fault, begunChange] of laterRuns) {
	test(`where another run is under way, an answer waits for it after a run that ${description}`, t => {
		const expected = {end: fault === undefined ? AnswerEnd.Complete : AnswerEnd.Wait, fault};

		for (const canRepeat of [false, true]) {
			t.deepEqual(decideAnswerEnd({begun: {...begun, ...begunChange}, canRepeat, hasOtherRun: true}, {...goodRun, ...result}), expected);
		}
	});
}
