/** How the reader of a body learns where it ends. */
export enum BodyFraming {
	Chunks = 'chunks',
	Length = 'length',
	/** By the close of the connection: an early close cannot be told from the end of the body. */
	Close = 'close',
}

/** What follows for the caller after a run. */
export enum AnswerEnd {
	/** The answer is complete, or is the complete failure of an instance. */
	Complete = 'complete',
	/** Another run repeats the request, or continues the stream. */
	Repeat = 'repeat',
	/** Another run is under way, and may still complete the answer. */
	Wait = 'wait',
	/** The answer is aborted, so that the caller can tell. */
	Aborted = 'aborted',
}

/** Why a run does not complete the answer. */
export enum RunFault {
	/** The response of the instance is not complete. */
	Incomplete = 'incomplete',
	/** The instance answered with a failure, or with another status than the run that began the answer. */
	Status = 'status',
	/** The run answered in another format than the run that began the answer. */
	Format = 'format',
	/** It is not certain that the run's instance has the software version that began the stream. */
	SoftwareVersion = 'software_version',
	/** The stream ended inside an event. */
	InsideEvent = 'inside_event',
	/** The stream ended without the event that ends an answer, where the protocol has one. */
	NoEndMark = 'no_end_mark',
	/** The run sent no event. */
	NoEvent = 'no_event',
	/** The run began again at an earlier event. */
	StartedOver = 'started_over',
	/** The run sent an event that the caller already has. */
	StoodStill = 'stood_still',
	/** The run sent events without ids that have an order, so that it is not known where it went on. */
	NoEventIds = 'no_event_ids',
	/** The run sent what is no event of the protocol. */
	NotAnEvent = 'not_an_event',
	/** The end of the run is not told by a length or by chunks, and that of the answer is. */
	Unframed = 'unframed',
	/** The runs made fewer or more bytes than the length that the first one announced. */
	OtherLength = 'other_length',
}

/** Whether the run sent the event that ends an answer. */
export enum EndMark {
	/** The protocol has no such event. */
	None = 'none',
	Seen = 'seen',
	Missing = 'missing',
}

/** What the caller has got of an answer. */
export type BegunAnswer = {
	readonly status: number;
	/** How the caller learns where the answer ends. */
	readonly framing: BodyFraming;
	/** Bytes that are still missing of the length that the first run announced; `undefined` where it announced none. */
	readonly missingBytes: number | undefined;
};

/** The answer as its caller sees it after a run. */
export type AnswerState = {
	/** `undefined` where nothing was sent to the caller. */
	readonly begun: BegunAnswer | undefined;
	/** Whether another run may follow: the request may be repeated, the position to go on from is known, and attempts and time are left. */
	readonly canRepeat: boolean;
	/** Whether another run of the request is under way. */
	readonly hasOtherRun?: boolean;
};

/** What a run sent as a stream. */
export type StreamResult = {
	readonly hasEvents: boolean;
	readonly isInsideEvent: boolean;
	readonly endMark: EndMark;
};

/** How a run ended. */
export type RunResult = {
	/** Whether the instance's response ended as its framing says. */
	readonly isComplete: boolean;
	readonly status: number | undefined;
	readonly framing: BodyFraming | undefined;
	/** What was wrong with the events of the run, found while they were read. */
	readonly eventFault: RunFault | undefined;
	/** `undefined` where the response was buffered instead of streamed. */
	readonly stream: StreamResult | undefined;
};

const minSuccessStatus = 200;
const minNoSuccessStatus = 300;
const minServerFailureStatus = 500;

/**
Decides how an answer ends for its caller after a run. An answer that has begun is complete only if the last run proves it: it succeeded as the run that began
the answer did, went on behind the events that the caller has, ended after an event, and told its end at least as firmly as the caller was
promised. Everything else waits for another run that is under way, is repeated where it can
be, and aborted otherwise. An answer that has not begun is that of the instance, failures
included.

@example
```
const begun = {status: 200, framing: BodyFraming.Chunks, missingBytes: undefined};
const result = {isComplete: true, status: 500, framing: BodyFraming.Length, eventFault: undefined, stream: undefined};
decideAnswerEnd({begun, canRepeat: false}, result); //=> {end: AnswerEnd.Aborted, fault: RunFault.Status}
```
*/
export function decideAnswerEnd(state: AnswerState, result: RunResult): {readonly end: AnswerEnd; readonly fault: RunFault | undefined} {
	const fault = findRunFault(state.begun, result);

	if (fault === undefined) {
		return {end: AnswerEnd.Complete, fault};
	}

	if (state.hasOtherRun === true) {
		return {end: AnswerEnd.Wait, fault};
	}

	if (state.canRepeat) {
		return {end: AnswerEnd.Repeat, fault};
	}

	const isCompleteFailure = state.begun === undefined && fault === RunFault.Status;

	return {end: isCompleteFailure ? AnswerEnd.Complete : AnswerEnd.Aborted, fault};
}

/** Finds out why a run does not complete the answer; `undefined` where it does. */
export function findRunFault(begun: BegunAnswer | undefined, result: RunResult): RunFault | undefined {
	return begun === undefined ? findFirstRunFault(result) : findLaterRunFault(begun, result);
}

/** Describes a fault for the log. */
export function describeRunFault(fault: RunFault): string {
	return descriptions[fault];
}

const descriptions: Readonly<Record<RunFault, string>> = {
	[RunFault.Incomplete]: 'the response of the instance is not complete',
	[RunFault.Status]: 'the instance failed',
	[RunFault.Format]: 'the instance continued the stream in another format',
	[RunFault.SoftwareVersion]: 'the instance does not have the software version that began the stream',
	[RunFault.InsideEvent]: 'the stream ended inside an event',
	[RunFault.NoEndMark]: 'the stream ended before the last event of the answer',
	[RunFault.NoEvent]: 'the stream ended without an event',
	[RunFault.StartedOver]: 'the instance started the stream over instead of continuing it',
	[RunFault.StoodStill]: 'the instance repeated an event instead of continuing the stream',
	[RunFault.NoEventIds]: 'the instance sent events without ids that have an order',
	[RunFault.NotAnEvent]: 'the instance sent what is no event of an answer',
	[RunFault.Unframed]: 'the instance closed the connection without saying that the stream has ended',
	[RunFault.OtherLength]: 'the stream is not as long as was announced',
};

// Nothing was sent to the caller: it gets the response of the instance, with the framing of the instance.
function findFirstRunFault({isComplete, status = 0, framing, eventFault, stream}: RunResult): RunFault | undefined {
	if (eventFault !== undefined || !isComplete) {
		return eventFault ?? RunFault.Incomplete;
	}

	if (status >= minServerFailureStatus) {
		return RunFault.Status;
	}

	if (stream === undefined || !isSuccess(status)) {
		return undefined;
	}

	return findEndFault(stream) ?? (!stream.hasEvents && stream.endMark === EndMark.None && framing === BodyFraming.Close ? RunFault.NoEvent : undefined);
}

function findLaterRunFault(begun: BegunAnswer, {isComplete, status, framing, eventFault, stream}: RunResult): RunFault | undefined {
	if (eventFault !== undefined || !isComplete) {
		return eventFault ?? RunFault.Incomplete;
	}

	if (status !== begun.status || stream === undefined) {
		return RunFault.Status;
	}

	const endFault = findEndFault(stream);

	if (endFault !== undefined) {
		return endFault;
	}

	if (begun.missingBytes !== undefined && begun.missingBytes !== 0) {
		return RunFault.OtherLength;
	}

	if (stream.endMark === EndMark.Seen) {
		return undefined;
	}

	if (!stream.hasEvents) {
		return RunFault.NoEvent;
	}

	const isLengthReached = begun.missingBytes === 0;

	return begun.framing === BodyFraming.Chunks && framing === BodyFraming.Close && !isLengthReached ? RunFault.Unframed : undefined;
}

function findEndFault({isInsideEvent, endMark}: StreamResult): RunFault | undefined {
	if (isInsideEvent) {
		return RunFault.InsideEvent;
	}

	return endMark === EndMark.Missing ? RunFault.NoEndMark : undefined;
}

function isSuccess(status: number): boolean {
	return status >= minSuccessStatus && status < minNoSuccessStatus;
}
