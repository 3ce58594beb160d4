export {
	recordConnectionLoss, recordCrash, clearSuspect, createCrashSuspects, createSuspectUpdate, forgetConnectionLosses, getQuarantineDeadline, isSuspect, isSuspectUpdates, listNearQuarantine,
	mergeSuspects, takeCrashedRequests,
	type ConnectionLossInput, type CrashInput, type CrashSuspects, type SuspectUpdate,
} from './crash-suspects.js';
export {
	createFairQueue, enterQueue, estimateWaitMs, leaveQueue, type QueuedRequest, type FairQueue,
} from './fair-queue.js';
export {
	createRetryBudget, depositSuccess, withdrawRetry, type RetryBudget,
} from './retry-budget.js';
export {createTokenBucket, takeTokens, type TokenBucket} from './token-bucket.js';
export {
	admitRequest, createAdmission, finishRequest, setShare, type Admission, type AdmissionAnswer, type ClassLimit,
} from './admission.js';
export {
	isLimitChange, isValidRequestLimit, mergeRequestLimits, noRequestLimit, recordRequestLimit, type LimitStatement, type RequestLimit,
} from './request-limit.js';
export {
	isPermitQuestions, isPermitReplies, type PermitQuestion, type PermitReply,
} from './permit-messages.js';
export {
	applyPermitAnswer, closeWallet, decidePermit, emptyPermitWallet, isPermitUsable, PermitDecision, reopenWallet, returnPermit, takeSparePermit,
	type Permit, type PermitAnswer, type PermitWallet,
} from './permit-wallet.js';
export {
	maxReservationMs, permitValidityMs, reservePermit, type PermitAccount, type PermitQuery, type Reservation,
} from './reserve-permit.js';
export {scheduleReturn, type ReturnQuery} from './schedule-return.js';
