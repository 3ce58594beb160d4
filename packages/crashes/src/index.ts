export {
	explainCrashes, type CrashCause, type CrashExplanation,
} from './explain-crashes.js';
export {
	crashRetentionMs, dropOldCrashes, mergeCrashReport, noCrashEvidence, type Crash, type CrashedRequest, type CrashEvidence, type CrashReport, type TrialRecord,
} from './crash-evidence.js';
export {
	decodeCrashReport, decodeQuarantine, encodeCrashReport, encodeQuarantine, isCrashReportMessage, isOptionalCrashReport, isQuarantineMessage, isTraits, isTrialReply,
	listCrashEvidence, type CrashReportMessage, type QuarantineMessage, type TrialReply,
} from './messages.js';
export {
	createTrialReport, decideTrial, getTrialAtMs, type TrialDecision, type TrialQuery,
} from './plan-trial.js';
export {
	createQuarantine, emptyQuarantine, findHeldBack, mergeQuarantines, type HeldBack, type Quarantine, type QuarantinedTrait,
} from './quarantine.js';
export {
	formatPartTrait, formatRequestTrait, getTraitsKey, isModelTrait, isRequestTrait, listPromptTraits, type Traits,
} from './traits.js';
export {
	forgetConnectionLosses, noConnectionLosses, recordConnectionLoss, takeCrashedRequests, type ConnectionLosses, type ConnectionLossInput,
} from './connection-losses.js';
