import {type InstanceLoad} from '@fescuestair/routing';
import {type RunDecision, type RunFault} from '@fescuestair/streams';
import {AttemptCompletion, type AttemptResult} from './attempt.js';
import {type OriginProof} from './check-run-origin.js';
import {type RunIds} from './event-stream-splitter.js';
import {type NewerTarget} from './target-version-history.js';
import {type RunInput} from './start-run.js';

/** Why a request is sent to an instance. */
export enum DispatchKind {
	First = 'first',
	/** It was sent to another instance before. */
	Repeat = 'repeat',
	/** It continues a stream that has begun. */
	Resume = 'resume',
}

/** What was decided while an instance was silent. */
export type RecordedSilence = RunDecision & {readonly silentMs: number};

/** Pieces of a stream that were received. */
export type StreamedPieces = {
	pieces: number;
	/** When the last one was, since the start of the attempt. */
	lastMs: number;
	firstAtMs: number | undefined;
	isAnswerRecorded: boolean;
};

/** What is logged of an attempt besides its input. */
export type AttemptLogInput = RunInput & {
	readonly result: AttemptResult;
	readonly fault: RunFault | undefined;
	readonly loadBefore: InstanceLoad;
	/** Limit that the instance was known to have named when the request was sent. */
	readonly limitPerSecond: number | undefined;
	readonly kind: DispatchKind;
	readonly startedAtMs: number;
	readonly firstPieceMs: number | undefined;
	readonly streamed: StreamedPieces;
	/** Id of the event after which the instance was asked to continue. */
	readonly resumeAfter: string | undefined;
	/** How long the instance had sent nothing at the end. */
	readonly silentMs: number;
	/** The latest decision about a silence of the instance; `undefined` where it was never silent. */
	readonly silence: RecordedSilence | undefined;
	readonly runIds: RunIds;
	/** How it became known that the instance had not restarted with other software; `undefined` where that was not asked. */
	readonly originProof: OriginProof | undefined;
	/** The target that was newer than the instance's weights when the request was sent; `undefined` where none was known. */
	readonly newerTarget: NewerTarget | undefined;
	readonly nowMs: number;
};

/**
Describes an attempt for the log: what was known when the instance was chosen, and the result.

@example
```
progress.story.push(describeAttempt(input));
```
*/
export function describeAttempt(input: AttemptLogInput): Readonly<Record<string, unknown>> {
	const {
		entry, placement, cache, uncachedTokens, progress, result, fault, loadBefore, limitPerSecond, kind, startedAtMs, firstPieceMs, streamed, silence, silentMs, nowMs, originProof, newerTarget,
	} = input;
	const {report} = loadBefore;

	return {
		instance: entry.held.record.id,
		...(entry.held.record.softwareVersion !== undefined && {softwareVersion: entry.held.record.softwareVersion}),
		...(originProof !== undefined && {originProof}),
		end: result.end,
		...(result.reason !== '' && {reason: result.reason}),
		...(result.cancelledFor !== undefined && {cancelledFor: result.cancelledFor, silentMs: Math.round(silentMs)}),
		...(silence !== undefined && {silence: {...silence, silentMs: Math.round(silence.silentMs)}}),
		...(fault !== undefined && {fault}),
		...(result.head !== undefined && {status: result.head.status}),
		...(progress.waits > 0 && {waits: progress.waits}),
		...(kind !== DispatchKind.First && {kind}),
		...describeEvents(input),
		...(limitPerSecond !== undefined && {limitPerSecond}),
		...describeExpectation(placement),
		...(firstPieceMs !== undefined && {firstPieceMs: Math.round(firstPieceMs)}),
		...(streamed.pieces > 0 && {pieces: streamed.pieces, lastPieceMs: Math.round(streamed.lastMs)}),
		tookMs: Math.round(nowMs - startedAtMs),
		own: loadBefore.own,
		peers: loadBefore.peers.requests,
		...(result.connectMs !== undefined && {connectMs: Math.round(result.connectMs)}),
		...(report !== undefined && {reported: `${report.running},${report.waiting}`, reportAgeMs: Math.round(startedAtMs - report.atMs)}),
		...(cache !== undefined && {
			queueMs: Math.round(placement.queueMs),
			weightVersion: cache.weightVersion,
			uncachedTokens,
			fetched: cache.fetchAddresses.filter(address => address !== undefined).length,
			saved: cache.saveAddresses.filter(address => address !== undefined).length,
		}),
		...(result.head?.answer.weightVersion !== undefined && {servedVersion: result.head.answer.weightVersion}),
		...(newerTarget !== undefined && {newerTarget: {...newerTarget, ageMs: Math.round(newerTarget.ageMs)}}),
		...(streamed.firstAtMs !== undefined && {firstEventMs: Math.round(streamed.firstAtMs - startedAtMs)}),
	};
}

function describeExpectation({expectedMs, isRevisit = false}: AttemptLogInput['placement']): Readonly<Record<string, unknown>> {
	return {...(isRevisit && {isRevisit}), expectedMs: Math.round(expectedMs)};
}

/** Describes which part of a stream an attempt made, where it did not make all of it. */
function describeEvents({result: {end, head}, kind, streamed, resumeAfter, runIds}: AttemptLogInput): Readonly<Record<string, unknown>> {
	const isPart = resumeAfter !== undefined || kind === DispatchKind.Resume || (end !== AttemptCompletion.Complete && streamed.pieces > 0);

	return {
		...(head !== undefined && (isPart || streamed.pieces > 0) && {framing: head.framing}),
		...(resumeAfter !== undefined && {resumeAfter}),
		...(isPart && {eventIds: [runIds.first ?? '', runIds.last ?? '']}),
	};
}
