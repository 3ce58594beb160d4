import test from 'ava';
import {createManualClock} from '@fescuestair/core';
import {type LinkMessage, type LinkMessageKind} from '@fescuestair/protocol';
import {createLogger} from '@fescuestair/runtime';
import {encodeOriginNote, type OriginNote} from '@fescuestair/streams';
import {createStreamOrigins, OriginSource} from '../../stream-origins.js';

const v1 = {service: 'app', softwareVersion: 'v1'};
const deadlineMs = 20_000;
const foundReply = {kind: 'stream_origins', origins: [encodeOriginNote('r', {origin: v1, begunAtMs: 0, deadlineMs}, 1000)]};
const unknownReply = {kind: 'stream_origins', origins: []};

/** Creates the records of a gateway with coordinators that answer as given, by address; an error stands for one that does not answer. */
function openOrigins(answers: Readonly<Record<string, unknown>> = {}) {
	const clock = createManualClock(1000);
	const sent: Array<readonly [address: string, ids: readonly string[]]> = [];
	const asked: string[] = [];
	const due: Array<() => void> = [];
	const origins = createStreamOrigins({
		clock,
		links: {
			send(address, message) {
				sent.push([address, ((message as Extract<LinkMessage, {kind: LinkMessageKind.RecordStreamOrigins}>).origins as readonly OriginNote[]).map(([id]) => id)]);
			},
			async call(address) {
				asked.push(address);
				const answer = answers[address];

				if (answer instanceof Error) {
					throw answer;
				}

				return answer;
			},
		},
		log: createLogger({instance: 'front-1', isTerminal: false, writeLine: () => true}),
		metrics: {registerGauge: () => undefined},
		listRecordKeepers: () => ['core-1', 'core-2'],
		listCoordinators: () => Object.keys(answers),
		delay(callback) {
			due.push(callback);

			return () => {
				due.splice(due.indexOf(callback), 1);
			};
		},
	});

	return {
		clock, origins, sent, asked, due,
	};
}

test('origins of one moment are sent to both homes in one message', t => {
	const {origins, sent, due} = openOrigins();
	origins.record('a', v1, deadlineMs);
	origins.record('b', v1, deadlineMs);
	t.deepEqual(sent, []);
	t.is(due.length, 1);
	due[0]!();
	t.deepEqual(sent, [['core-1', ['a', 'b']], ['core-2', ['a', 'b']]]);
});

test('a coordinator that has started anew gets all records that still count', t => {
	const {origins, sent, clock} = openOrigins();
	origins.record('short', v1, 2000);
	origins.record('long', v1, deadlineMs);
	clock.advance(5000);
	origins.repeatRecords('core-3');
	t.deepEqual(sent, [['core-3', ['long']]]);
});

test('what is left is sent at a stop', t => {
	const {origins, sent, due} = openOrigins();
	origins.record('a', v1, deadlineMs);
	origins.stop();
	t.is(sent.length, 2);
	t.is(due.length, 0);
});

test('a stream of this gateway is known without a question', async t => {
	const {origins, asked} = openOrigins({'core-1': foundReply});
	origins.record('r', v1, deadlineMs);
	t.like(await origins.find('r'), {source: OriginSource.Own, recorded: {origin: v1}});
	t.deepEqual(asked, []);
});

for (const [description, answers, source, unanswered] of [
	['one coordinator knows it', {'core-1': unknownReply, 'core-2': foundReply, 'core-3': unknownReply}, OriginSource.Coordinator, 0],
	['one knows it, and another does not answer', {'core-1': new Error('cut off'), 'core-2': foundReply}, OriginSource.Coordinator, 1],
	['none knows it', {'core-1': unknownReply, 'core-2': unknownReply}, OriginSource.None, 0],
	['none that answers knows it', {'core-1': unknownReply, 'core-2': new Error('cut off')}, OriginSource.None, 1],
	['a coordinator answers with what is no origin', {'core-1': {kind: 'stream_origins', origins: [['r', 7]]}, 'core-2': {kind: 'noted'}}, OriginSource.None, 2],
	['there is no coordinator', {}, OriginSource.None, 0],
] as const) {
	test(`what began a stream is looked up where ${description}`, async t => {
		const {origins, asked} = openOrigins(answers);
		const finding = await origins.find('r');
		t.is(finding.source, source);
		t.is(finding.unanswered, unanswered);
		t.is(finding.asked, Object.keys(answers).length);
		t.deepEqual(finding.recorded?.origin, source === OriginSource.Coordinator ? v1 : undefined);
		t.is(asked.length, Object.keys(answers).length);
	});
}

// After the loss of all daemons, the coordinators that keep a record may start later than those that are asked.
test('what nobody knows may be known to a coordinator that a gateway has not heard of, for some seconds after its start', async t => {
	for (const [answers, afterMs, isIncomplete] of [
		[{'core-1': unknownReply}, 4999, true],
		[{'core-1': unknownReply}, 5000, false],
		[{'core-1': unknownReply, 'core-2': new Error('cut off')}, 5000, true],
		[{'core-1': foundReply, 'core-2': new Error('cut off')}, 0, false],
	] as const) {
		const {origins, clock} = openOrigins(answers);
		clock.advance(afterMs);
		const finding = await origins.find('r');
		t.is(finding.isIncomplete, isIncomplete);
	}
});

test('what was found out is kept, and reported again', async t => {
	const {origins, asked, sent} = openOrigins({'core-1': foundReply});
	await origins.find('r');
	t.like(await origins.find('r'), {source: OriginSource.Own});
	t.is(asked.length, 1);
	origins.repeatRecords('core-2');
	t.deepEqual(sent, [['core-2', ['r']]]);
});
