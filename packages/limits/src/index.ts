export {
	createFairQueue, enterQueue, estimateWaitMs, leaveQueue, type QueuedRequest, type FairQueue,
} from './fair-queue.js';
export {
	createRetryBudget, depositSuccess, hasRetry, withdrawRetry, type RetryBudget,
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
	applyPermitAnswer, setClosedUntil, decidePermit, emptyPermitWallet, isPermitUsable, PermitDecision, clearClosedUntil, depositPermit, takeSparePermit,
	type Permit, type PermitAnswer, type PermitNeed, type PermitWallet,
} from './permit-wallet.js';
export {
	maxReservationMs, minPermitsPerSecond, permitValidityMs, reservePermit, type PermitAccount, type PermitQuery, type Reservation,
} from './reserve-permit.js';
export {
	coldBurstRequests, computeAnnouncedColdEnd, computeColdRate, computeUngrantedRate, findColdEnd, mergeColdEnd, noColdTime, recordColdAnswer,
	recordEndedRun,
	type ColdAnnouncement, type ColdBound, type ColdQuery, type ColdTerms, type ColdTime,
} from './cold-time.js';
export {
	planSafeShare, type SafeShare, type SafeSharePlan, type SafeShareQuery,
} from './safe-share.js';
export {planReturn, type ReturnQuery} from './plan-return.js';
