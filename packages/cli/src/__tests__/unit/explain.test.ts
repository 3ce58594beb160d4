import test from 'ava';
import {explainRequest, formatExplanation, parseLogLines} from '../../explain.js';

const write = (seconds: number, instance: string, message: string, fields: Readonly<Record<string, unknown>>) => JSON.stringify({
	time: new Date(1_700_000_000_000 + (seconds * 1000)).toISOString(), level: 'info', instance, message, ...fields,
});

const log = [
	write(1, 'front-1', 'instance rests', {id: 'i-1', event: 'silent', restMs: 500}),
	write(1, 'front-1', 'instance rests', {id: 'i-9', event: 'silent', restMs: 500}),
	`  1.5000 front-2 ${write(1.5, 'front-2', 'coordinator lost', {address: '10.0.0.1:7700'})}`,
	write(2, 'front-1', 'request', {
		requestId: 'r1', outcome: 'failed', status: 502, reason: 'ECONNRESET', tookMs: 130, route: 'bookings', organisation: 'o', timeLeftMs: 1500, configVersion: 7,
		story: [{
			instance: 'i-1', end: 'broken', reason: 'ECONNRESET', tookMs: 128, expectedMs: 60, own: 2, peers: 1,
		}],
	}),
	'not a line of a daemon {',
	write(90, 'front-1', 'instance rests', {id: 'i-1'}),
].join('\n');

test('a request is explained from its id alone, with the log lines about its instance around that time', t => {
	const explanation = explainRequest('r1', parseLogLines(log));
	t.deepEqual(explanation.context.map(line => [line.message, line.instance]), [['instance rests', 'front-1'], ['coordinator lost', 'front-2']]);
	const text = formatExplanation(explanation);
	t.regex(text, /failed with 502 after 130 ms: ECONNRESET/v);
	t.regex(text, /1\. sent to i-1: broken after 128 ms \(ECONNRESET\)/v);
});

test('a request without log lines gives a finding', t => {
	t.regex(formatExplanation(explainRequest('r2', parseLogLines(log))), /no line names request r2/v);
});

test('a request that was not sent is explained with the estimates of the best instance', t => {
	const line = write(3, 'front-1', 'request', {
		requestId: 'r3', outcome: 'refused', status: 503, reason: 'all instances are too busy to answer in time', tookMs: 900, timeLeftMs: 4000,
		story: [{
			decision: 'refuse', best: 'i-1', waits: 30, expectedMs: 2500, queueMs: 2100, workMs: 400, aheadMs: 3200, waitedMs: 900, patienceMs: 4000,
		}],
	});
	const explanation = explainRequest('r3', parseLogLines(`${line}\n${write(3.1, 'front-1', 'instance rests', {id: 'i-1'})}`));
	t.is(explanation.context.length, 1);
	t.regex(formatExplanation(explanation), /not sent: at best 2500 ms were expected at i-1, 2100 ms of prompts before it/v);
	t.regex(formatExplanation(explanation), /3200 ms of requests waited before it here/v);
});

test('a request is explained with the run that the gateway ended for silence, and why no other took over', t => {
	const line = write(3, 'front-1', 'request', {
		requestId: 'r10', outcome: 'failed', status: 502, reason: 'the instance fell silent', tookMs: 1733, streamEnd: 'aborted', streamFraming: 'chunks',
		story: [
			{
				instance: 'i-1', end: 'broken', reason: 'the instance fell silent', cancelledFor: 'silent', silentMs: 961, fault: 'incomplete', tookMs: 1727, expectedMs: 14, own: 4, peers: 3,
			},
			{decision: 'aborted', obstacle: 'no_budget'},
		],
	});
	const text = formatExplanation(explainRequest('r10', parseLogLines(line)));
	t.regex(text, /1\. sent to i-1: broken after 1727 ms.*; the gateway ended it \(silent\) after 961 ms of silence; /v);
	t.regex(text, /2\. no other run could take over: no budget/v);
});

test('a request is explained with the silence of an instance, and what was to take over', t => {
	const attempt = {
		end: 'complete', status: 200, tookMs: 2400, expectedMs: 14, own: 4, peers: 3,
	};
	const line = write(3, 'front-1', 'request', {
		requestId: 'r11', outcome: 'answered', status: 200, tookMs: 2402, story: [
			{
				...attempt, instance: 'i-2', end: 'broken', reason: 'another run has continued the answer', cancelledFor: 'superseded', silentMs: 0, silence: {action: 'add_run', silentMs: 961},
			},
			{...attempt, instance: 'i-1', silence: {action: 'keep', obstacle: 'no_attempt', silentMs: 903}},
		],
	});
	const text = formatExplanation(explainRequest('r11', parseLogLines(line)));
	t.regex(text, /1\. sent to i-2: broken.*ended it \(superseded\).*it had sent nothing for 961 ms; another run was to start beside it/v);
	t.regex(text, /2\. sent to i-1: complete.*it had sent nothing for 903 ms; it was waited for, as no other run could take over \(no attempt\)/v);
});

test('a request that is held back is explained with the trait and the crashes under it', t => {
	const line = write(3, 'front-1', 'request', {
		requestId: 'r9', outcome: 'refused', status: 503, reason: 'instances crashed each time that they answered a prompt with one of its parts', tookMs: 1,
		story: [{decision: 'refuse', heldBackFor: 'part m 5c1e', crashes: 3}],
	});
	const told = write(1, 'core-1', 'crashes are attributed to a trait of requests', {trait: 'part m 5c1e', instances: ['i-1 7', 'i-2 7', 'i-3 7']});
	const explanation = explainRequest('r9', parseLogLines(`${told}\n${line}`));
	t.is(explanation.context.length, 1);
	t.regex(formatExplanation(explanation), /not sent: held back for part m 5c1e; 3 instances crashed under it and none has answered it since/v);
});

test('a refusal of a gateway that stops is explained with what it knew of the others', t => {
	const line = write(3, 'front-1', 'request', {
		requestId: 'r8', outcome: 'refused', status: 503, reason: 'this gateway stops', tookMs: 1, route: 'stories',
		stop: {
			phase: 'accepting', why: 'it might not end in time', longestMs: 3197, leftMs: 3900, known: 5, ready: 1, acceptingAfter: 0, ending: 2, heardAgoMs: 120, running: 6,
		},
	});
	const decision = write(2.9, 'front-1', 'stop decision', {phase: 'accepting', reason: 'too few others serve'});
	const explanation = explainRequest('r8', parseLogLines([decision, line].join('\n')));
	t.deepEqual(explanation.context.map(({message}) => message), ['stop decision']);
	const text = formatExplanation(explanation);
	t.regex(text, /accepting: it might not end in time; of 5 gateways 1 were ready, 0 accepted.* 2 ended, as heard 120 ms before/v);
	t.regex(text, /3900 ms were left, the route took up to 3197 ms/v);
});

test('a request without an available instance is explained with the status of the instances', t => {
	const line = write(3, 'front-1', 'request', {
		requestId: 'r5', outcome: 'refused', status: 503, reason: 'no instance of the service takes requests now', tookMs: 1,
		story: [{decision: 'refuse', standings: {resting: 2, leaving: 1}, restLeftMs: 2400}],
	});
	const text = formatExplanation(explainRequest('r5', parseLogLines(line)));
	t.regex(text, /no instance took requests; they were \{"resting":2,"leaving":1\}/v);
	t.regex(text, /the first rest that was asked for had 2400 ms left/v);
});

test('a refusal for the limits of instances is told from one for other reasons, with what was known of the limits', t => {
	const line = write(3, 'front-1', 'request', {
		requestId: 'r6', outcome: 'refused', status: 503, reason: 'the limits that the instances of the service name are used up', tookMs: 12,
		story: [{
			decision: 'refuse', standings: {limited: 2, leaving: 1}, permitRefusals: 2, limitLeftMs: 700,
		}],
	});
	const limit = write(1, 'front-1', 'instance names a request limit', {id: 'i-1', perSecond: 3.3, isOwn: true});
	const explanation = explainRequest('r6', parseLogLines(`${limit}\n${line}`));
	t.is(explanation.context.length, 1);
	const text = formatExplanation(explanation);
	t.regex(text, /none of them had asked for a rest; the first limit that instances name left no room for 700 ms more; limits left it no permit 2 times/v);
	t.regex(text, /instance names a request limit \{.*"id":"i-1","perSecond":3\.3/v);
});

test('an attempt at a limited instance says the limit that was known, and whether it was a repeat', t => {
	const line = write(3, 'front-1', 'request', {
		requestId: 'r7', outcome: 'answered', status: 200, tookMs: 12, story: [{
			instance: 'i-1', end: 'complete', status: 200, tookMs: 9, expectedMs: 9, own: 0, peers: 0, kind: 'repeat', limitPerSecond: 3.3,
		}],
	});
	t.regex(formatExplanation(explainRequest('r7', parseLogLines(line))), /sent \(repeat\) to i-1: complete with 200 after 9 ms; the instance had named a limit of 3\.3 requests a second/v);
});

test('an interrupted stream is explained with the number of pieces that came', t => {
	const line = write(3, 'front-1', 'request', {
		requestId: 'r4', outcome: 'failed', status: 502, reason: 'ECONNRESET', tookMs: 900,
		story: [{
			instance: 'i-1', end: 'broken', reason: 'ECONNRESET', tookMs: 890, expectedMs: 60, firstPieceMs: 70, pieces: 12, lastPieceMs: 640, own: 2, peers: 1,
		}],
	});
	t.regex(formatExplanation(explainRequest('r4', parseLogLines(line))), /12 pieces, the last after 640 ms/v);
});

test('a stream that another instance continued is explained with how it ended for the caller, and with the events of each run', t => {
	const line = write(3, 'front-1', 'request', {
		requestId: 'r8', outcome: 'failed', status: 502, reason: 'the instance that was to continue the stream answered 500', tookMs: 3346,
		streamEnd: 'aborted', streamFraming: 'chunks',
		story: [{
			instance: 'i-1', end: 'broken', reason: 'ECONNRESET', fault: 'incomplete', status: 200, tookMs: 2852, expectedMs: 198, firstPieceMs: 1067, pieces: 83, lastPieceMs: 2840, own: 4, peers: 0,
			framing: 'chunks', eventIds: ['1', '83'],
		}, {
			instance: 'i-2', end: 'complete', status: 500, fault: 'status', kind: 'resume', tookMs: 6, expectedMs: 141, firstPieceMs: 5, own: 0, peers: 3,
			framing: 'length', resumeAfter: '83', eventIds: ['', ''],
		}],
	});
	const text = formatExplanation(explainRequest('r8', parseLogLines(line)));
	t.regex(text, /the stream to the caller was aborted; its end is told by chunks/v);
	t.regex(text, /sent to i-1: broken with 200 after 2852 ms \(ECONNRESET\); it did not complete the answer: incomplete; events 1 to 83 came; its end was told by chunks/v);
	t.regex(text, /sent \(resume\) to i-2: complete with 500 after 6 ms; it did not complete the answer: status; it was to go on after event 83/v);
	t.regex(text, /event 83; no event with an id came; its end was told by length/v);
});

test('a stream that is taken up again is explained with what began it, how that is known, and why it does not go on', t => {
	const createLine = (requestId: string, story: readonly unknown[]) => write(3, 'front-1', 'request', {
		requestId, outcome: 'answered', status: 200, tookMs: 40, story,
	});
	const known = createLine('r9', [{
		takeUp: {
			service: 'app', softwareVersion: 'v1', source: 'coordinator', ageMs: 900, lookUpMs: 3,
		},
	}, {
		instance: 'i-1', softwareVersion: 'v1', end: 'complete', status: 200, tookMs: 9, expectedMs: 9, own: 0, peers: 0,
	}]);
	const knownText = formatExplanation(explainRequest('r9', parseLogLines(known)));
	t.regex(knownText, /begun 900 ms before by software version v1 of app, as known from a coordinator \(3 ms\)\n/v);
	t.regex(knownText, /sent to i-1 \(software v1\): complete/v);
	const unknown = createLine('r10', [{takeUp: {source: 'none', lookUpMs: 400}, decision: 'refuse', obstacle: 'unknown_origin'}]);
	t.regex(formatExplanation(explainRequest('r10', parseLogLines(unknown))), /no daemon that answered knew what began it \(400 ms\); not sent: unknown origin/v);
});
