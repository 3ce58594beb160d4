import {type Finding, createFinding} from '@fescuestair/core';

/** A parsed log line of a daemon. */
export type LogLine = {
	readonly time: string;
	readonly instance: string;
	readonly message: string;
	readonly fields: Readonly<Record<string, unknown>>;
};

export type Explanation = {
	readonly requestId: string;
	/** Lines of the request, sorted by time; the clocks of the daemons may differ by some milliseconds. */
	readonly lines: readonly LogLine[];
	/** Lines around that time about the instances that the request was sent to, and about its dependencies. */
	readonly context: readonly LogLine[];
	readonly findings: readonly Finding[];
};

/** The context begins this long before the start of the request and ends this long after its last line. */
const contextWindowMs = 3000;
/** Log messages about dependencies of all requests; they belong to the context, whichever instance the request was sent to. */
const dependencyMessages = new Set([
	'configuration in force',
	'a trial is granted',
	'coordinator lost',
	'coordinator regained',
	'crashes are attributed to a trait of requests',
	'crashes are not attributed to a trait of requests any more',
	'gateway started',
	'gateway leaves',
	'grants permits for limited instances',
	'instance names a request limit',
	'instance names no request limit any more',
	'leads the group',
	'leads the group no longer',
	'the keeper of stored parts does not answer',
	'log lines were dropped',
	'no daemon grants permits for limited instances',
	'permits for limited instances are granted again',
	'requests go on at an instance that was announced anew',
	'requests are held back: instances crashed under them',
	'requests are held back no longer',
	'stop decision',
	'store cannot be followed',
]);

/**
Parses a log. Skips lines that no daemon wrote, and ignores any text before the first brace of a line.

@example
```
parseLogLines('{"time":"2026-12-04T00:00:00.000Z","instance":"front-1","message":"request","requestId":"r1"}').length; //=> 1
```
*/
export function parseLogLines(text: string): readonly LogLine[] {
	return text.split('\n').flatMap(line => {
		const start = line.indexOf('{');

		if (start === -1) {
			return [];
		}

		try {
			const {time, instance, message, ...fields} = JSON.parse(line.slice(start)) as Record<string, unknown>;

			return typeof time === 'string' && typeof instance === 'string' && typeof message === 'string'
				? [{
					time, instance, message, fields,
				}]
				: [];
		} catch {
			return [];
		}
	});
}

/** Selects the lines of a request, and the lines that give its context, from the logs of several daemons. */
export function explainRequest(requestId: string, logLines: readonly LogLine[]): Explanation {
	const lines = logLines.filter(line => line.fields.requestId === requestId).toSorted((a, b) => compareTime(a, b));
	const [first] = lines;
	const last = lines.at(-1);

	if (first === undefined || last === undefined) {
		return {
			requestId, lines, context: [], findings: [createFinding('logs', `no line names request ${requestId}; it reached no daemon of these logs, or its lines were dropped`)],
		};
	}

	const instances = new Set(lines.flatMap(line => listSteps(line).map(step => step.instance ?? step.best)));
	const fromMs = Date.parse(first.time) - Number(first.fields.tookMs ?? 0) - contextWindowMs;
	const toMs = Date.parse(last.time) + contextWindowMs;
	const context = logLines
		.filter(line => Date.parse(line.time) >= fromMs && Date.parse(line.time) <= toMs && line.message !== 'request')
		.filter(line => instances.has(formatValue(line.fields.id ?? line.fields.instanceId)) || dependencyMessages.has(line.message))
		.toSorted((a, b) => compareTime(a, b));

	return {
		requestId, lines, context, findings: [],
	};
}

function compareTime(a: LogLine, b: LogLine): number {
	return Date.parse(a.time) - Date.parse(b.time);
}

/** An entry of `story` in the log: an attempt at an instance, or the decision to refuse the request. */
type StoryStep = Readonly<Record<string, unknown>>;

function listSteps(line: LogLine): readonly StoryStep[] {
	return Array.isArray(line.fields.story) ? line.fields.story as StoryStep[] : [];
}

/** Formats an explanation for people. */
export function formatExplanation({requestId, lines, context, findings}: Explanation): string {
	const requestTexts = lines.flatMap(line => {
		const {
			outcome, status, reason, tookMs, route, organisation, timeLeftMs, configVersion, streamEnd, streamFraming, stop,
		} = line.fields;

		return [
			`${line.time}  ${line.instance}  ${formatValue(outcome)} with ${formatValue(status)} after ${formatValue(tookMs)} ms${reason === undefined ? '' : `: ${formatValue(reason)}`}`,
			`  route ${formatValue(route)}, organisation ${formatValue(organisation)}, configuration ${formatValue(configVersion)}, the caller waited up to ${formatValue(timeLeftMs)} ms`,
			...(streamEnd === undefined ? [] : [`  ${describeStreamEnd(formatValue(streamEnd), formatValue(streamFraming))}`]),
			...(stop === undefined ? [] : [`  ${describeStop(stop as StoryStep)}`]),
			...listSteps(line).map((step, position) => `  ${position + 1}. ${describeStep(step)}`),
		];
	});
	const contextTexts = context.map(line => `  ${line.time}  ${line.instance}  ${line.message} ${JSON.stringify(line.fields)}`);

	return [
		`request ${requestId}`,
		...findings.map(finding => `${finding.place}: ${finding.message}`),
		...requestTexts,
		...(contextTexts.length > 0 ? ['context', ...contextTexts] : []),
	].join('\n');
}

function describeStop({phase, why, ready, acceptingAfter, ending, known, heardAgoMs, longestMs, leftMs}: StoryStep): string {
	const countsText = `of ${formatValue(known)} gateways ${formatValue(ready)} were ready, ${formatValue(acceptingAfter)} accepted that were told to stop after it, `
		+ `${formatValue(ending)} ended, as heard ${formatValue(heardAgoMs)} ms before`;
	const othersText = heardAgoMs === undefined ? 'it had heard nothing of the others' : countsText;

	return `the gateway stops and is ${formatValue(phase)}: ${formatValue(why)}; ${othersText}; ${formatValue(leftMs)} ms were left, the route took up to ${formatValue(longestMs)} ms lately`;
}

function describeStep(step: StoryStep): string {
	if (step.takeUp !== undefined) {
		return describeTakeUp(step);
	}

	return step.decision === undefined ? describeAttempt(step) : describeDecision(step);
}

function describeTakeUp({takeUp, obstacle}: StoryStep): string {
	const {service, softwareVersion, source, ageMs, lookUpMs} = takeUp as StoryStep;
	const sourceText = source === 'own' ? 'this gateway itself' : 'a coordinator';
	const originText = service === undefined
		? 'no daemon that answered knew what began it'
		: `begun ${formatValue(ageMs)} ms before by software version ${formatValue(softwareVersion)} of ${formatValue(service)}, as known from ${sourceText}`;

	return [
		'the caller takes a stream up again',
		`${originText} (${formatValue(lookUpMs)} ms)`,
		...(obstacle === undefined ? [] : [`not sent: ${formatValue(obstacle).replaceAll('_', ' ')}`]),
	].join('; ');
}

function describeStreamEnd(end: string, framing: string): string {
	const framingText = framing === 'close' ? 'its end is the close of the connection' : `its end is told by ${framing}`;

	switch (end) {
		case 'complete': {
			return `the stream to the caller ended as complete; ${framingText}`;
		}

		case 'aborted': {
			return `the stream to the caller was aborted; ${framingText}`;
		}

		default: {
			return `the caller left before the stream ended; ${framingText}`;
		}
	}
}

function describeDecision(step: StoryStep): string {
	const {
		best, waits, expectedMs, queueMs, workMs, memoryWaitMs, aheadMs, waitedMs, patienceMs, standings, restLeftMs, permitRefusals, limitLeftMs, heldBackFor, crashes,
		decision, obstacle,
	} = step;

	if (decision === 'aborted') {
		return `no other run could take over: ${formatValue(obstacle).replaceAll('_', ' ')}`;
	}

	if (heldBackFor !== undefined) {
		return `not sent: held back for ${formatValue(heldBackFor)}; ${formatValue(crashes)} instances crashed under it and none has answered it since`;
	}

	if (standings !== undefined) {
		return [
			`not sent: no instance took requests; they were ${formatValue(standings)}`,
			restLeftMs === undefined ? 'none of them had asked for a rest' : `the first rest that was asked for had ${formatValue(restLeftMs)} ms left`,
			...(limitLeftMs === undefined ? [] : [`the first limit that instances name left no room for ${formatValue(limitLeftMs)} ms more`]),
			...(permitRefusals === undefined ? [] : [`limits left it no permit ${formatValue(permitRefusals)} times`]),
		].join('; ');
	}

	return [
		`not sent: at best ${formatValue(expectedMs)} ms were expected at ${formatValue(best)}, ${formatValue(queueMs)} ms of prompts before it and ${formatValue(workMs)} ms of its own`,
		...(typeof memoryWaitMs === 'number' && memoryWaitMs > 0 ? [`${memoryWaitMs} ms until that instance has enough free memory`] : []),
		`${formatValue(aheadMs)} ms of requests waited before it here; it had waited ${formatValue(waitedMs)} ms and checked for a free instance ${formatValue(waits)} times`,
		`the caller waits up to ${formatValue(patienceMs)} ms for the first piece`,
	].join('; ');
}

function describeAttempt(attempt: StoryStep): string {
	const {
		instance, end, reason, status, tookMs, expectedMs, firstPieceMs, pieces, lastPieceMs, own, peers, queueMs, kind, limitPerSecond, resumeAfter, eventIds, framing,
		fault, cancelledFor, silentMs, silence, softwareVersion,
	} = attempt;

	const statusText = status === undefined ? '' : ` with ${formatValue(status)}`;
	const sentText = kind === undefined ? 'sent' : `sent (${formatValue(kind)})`;
	const streamText = pieces === undefined ? '' : `, ${formatValue(pieces)} pieces, the last after ${formatValue(lastPieceMs)} ms`;
	const silenceText = silentMs === undefined ? '' : ` after ${formatValue(silentMs)} ms of silence`;
	const [firstId, lastId] = Array.isArray(eventIds) ? eventIds as unknown[] : [];

	const instanceText = softwareVersion === undefined ? formatValue(instance) : `${formatValue(instance)} (software ${formatValue(softwareVersion)})`;

	return [
		`${sentText} to ${instanceText}: ${formatValue(end)}${statusText} after ${formatValue(tookMs)} ms${reason === undefined ? '' : ` (${formatValue(reason)})`}`,
		...(cancelledFor === undefined ? [] : [`the gateway ended it (${formatValue(cancelledFor).replaceAll('_', ' ')})${silenceText}`]),
		...(silence === undefined ? [] : [describeSilence(silence as StoryStep)]),
		...(fault === undefined ? [] : [`it did not complete the answer: ${formatValue(fault).replaceAll('_', ' ')}`]),
		...(resumeAfter === undefined ? [] : [`it was to go on after event ${formatValue(resumeAfter)}`]),
		...(eventIds === undefined ? [] : [firstId === '' ? 'no event with an id came' : `events ${formatValue(firstId)} to ${formatValue(lastId)} came`]),
		...(framing === undefined ? [] : [`its end was told by ${formatValue(framing)}`]),
		...(limitPerSecond === undefined ? [] : [`the instance had named a limit of ${formatValue(limitPerSecond)} requests a second`]),
		`first piece after ${firstPieceMs === undefined ? 'none' : `${formatValue(firstPieceMs)} ms`}, ${formatValue(expectedMs)} ms expected${streamText}`,
		`in flight there: ${formatValue(own)} requests of this gateway and ${formatValue(peers)} of others${queueMs === undefined ? '' : `, ${formatValue(queueMs)} ms of prompts before it`}`,
	].join('; ');
}

function describeSilence({action, obstacle, silentMs}: StoryStep): string {
	const nextText = action === 'add_run' ? 'another run was to start beside it' : `it was waited for, as no other run could take over (${formatValue(obstacle).replaceAll('_', ' ')})`;

	return `it had sent nothing for ${formatValue(silentMs)} ms; ${nextText}`;
}

function formatValue(value: unknown): string {
	return typeof value === 'string' ? value : JSON.stringify(value) ?? 'unknown';
}
