export {
	AnswerEnd, BodyFraming, EndMark, RunFault, decideAnswerEnd, describeRunFault, findRunFault, type AnswerState, type BegunAnswer, type RunResult, type StreamResult,
} from './decide-answer-end.js';
export {
	ContinuationObstacle, describeContinuationObstacle, findContinuationObstacle, type StreamOrigin,
} from './decide-continuation.js';
export {
	RunAction, RunEvidence, SuccessionObstacle, decideRun, describeRunEvidence, findSuccessionObstacle, type RunDecision, type Succession,
} from './decide-run.js';
export {EventOrder, compareEventIds, isOrderedEventId} from './event-order.js';
export {
	createOriginTable, decodeOriginNote, encodeOriginNote, isOriginNotes, maxOriginNameLength, mergeOrigins, type OriginNote, type OriginTable, type OriginTableOptions,
	type RecordedOrigin,
} from './origin-table.js';
export {
	decodeSavedOrigin, encodeSavedOrigin, isSavedOrigins, type ClockReading, type SavedOrigin,
} from './saved-origin.js';
