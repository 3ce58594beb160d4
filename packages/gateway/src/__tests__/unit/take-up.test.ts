import test from 'ava';
import {ContinuationObstacle, encodeOriginNote, isOriginNotes} from '@fescuestair/streams';
import {type ForwardingContext} from '../../forwarding-context.js';
import {
	checkTakeUp, findTakeUpRefusal, formatStreamId, type TakeUp,
} from '../../take-up.js';

const v1 = {service: 'app', softwareVersion: 'v1'};

for (const [description, takeUp, isServing, expected] of [
	['goes on where an instance of its version serves', {origin: v1, isIncomplete: false}, true, undefined],
	['is refused where none of its version serves', {origin: v1, isIncomplete: false}, false, {obstacle: ContinuationObstacle.OtherVersion, canReturn: false}],
	['is refused where nobody knows what began it', {origin: undefined, isIncomplete: false}, true, {obstacle: ContinuationObstacle.UnknownOrigin, canReturn: false}],
	['is refused for now where a coordinator that may know did not answer', {origin: undefined, isIncomplete: true}, true, {obstacle: ContinuationObstacle.UnknownOrigin, canReturn: true}],
	['is refused where records of it differ', {origin: {...v1, softwareVersion: undefined}, isIncomplete: false}, true, {obstacle: ContinuationObstacle.UnknownOrigin, canReturn: false}],
	['is refused where its service is not one of the route any more', {origin: {...v1, service: 'other'}, isIncomplete: false}, true, {obstacle: ContinuationObstacle.OtherService, canReturn: false}],
] as const) {
	test(`a stream that is taken up again ${description}`, t => {
		const refusal = findTakeUpRefusal(takeUp, {service: 'app', isServing});
		t.deepEqual(refusal && {obstacle: refusal.obstacle, canReturn: refusal.canReturn}, expected);
	});
}

const createContext = (origin: TakeUp['origin'], servingVersions: readonly string[], isAllowedZone = () => true) => {
	const instances = servingVersions.map(softwareVersion => ({held: {record: {softwareVersion, availabilityZone: 'north'}}}));

	return {
		takeUp: {origin, isIncomplete: false}, service: {name: 'app'}, isAllowedZone, progress: {isEligible: ({softwareVersion}: {readonly softwareVersion: string}) => softwareVersion === 'v1'},
		options: {instancePool: {hasServing: (_service: string, filter: (instance: typeof instances[number]) => boolean) => instances.some(instance => filter(instance))}},
	} as unknown as ForwardingContext;
};

test('a stream that is taken up where no instance of its service serves is treated like a new one, unless its origin is unknown', t => {
	t.is(checkTakeUp(createContext(v1, []))?.obstacle, undefined);
	t.is(checkTakeUp(createContext(v1, ['v1', 'v2']))?.obstacle, undefined);
	t.is(checkTakeUp(createContext(v1, ['v2']))?.obstacle, ContinuationObstacle.OtherVersion);
	t.is(checkTakeUp(createContext(v1, ['v2'], () => false))?.obstacle, undefined);
	t.is(checkTakeUp(createContext(undefined, []))?.obstacle, ContinuationObstacle.UnknownOrigin);
});

test('the streams of one organisation are told from those of another with the same id', t => {
	const organisation = {
		name: 'a', keys: [], isIsolated: false, priority: undefined,
	};
	t.not(formatStreamId({organisation}, 'r-1'), formatStreamId({organisation: {...organisation, name: 'b'}}, 'r-1'));
	t.not(formatStreamId({organisation}, 'r-1'), formatStreamId({organisation: undefined}, 'r-1'));
});

test('long ids of streams are told apart, and taken with others in one message', t => {
	const attemptIds = ['r-1', 'x'.repeat(60_000), `${'x'.repeat(60_000)}y`];
	const streamIds = attemptIds.map(attemptId => formatStreamId({organisation: undefined}, attemptId));
	t.is(new Set(streamIds).size, attemptIds.length);
	t.deepEqual(attemptIds.map(attemptId => formatStreamId({organisation: undefined}, attemptId)), streamIds);
	t.true(isOriginNotes(streamIds.map(streamId => encodeOriginNote(streamId, {origin: v1, begunAtMs: 0, deadlineMs: 1000}, 0))));
});
