export {
	addBreak, addCrash, clearSuspect, createCrashSuspects, createSuspectNote, forgetBreaks, getQuarantineDeadline, isSuspect, isSuspectNotes, listPressing,
	mergeSuspects, takeCrashed,
	type ConnectionLossInput, type CrashInput, type CrashSuspects, type SuspectNote,
} from './crash-suspects.js';
export {
	createHoldQueue, enterHold, estimateWaitMs, leaveHold, type QueuedRequest, type FairQueue,
} from './hold-queue.js';
export {
	createRetryBudget, depositSuccess, withdrawRetry, type RetryBudget,
} from './retry-budget.js';
export {createTokenBucket, takeTokens, type TokenBucket} from './token-bucket.js';
export {
	admitRequest, createAdmission, finishRequest, setShares, type Admission, type AdmissionAnswer, type ClassLimit,
} from './admission.js';
