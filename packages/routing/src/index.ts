export {
	estimateReturn, shouldExport, type ExportQuestion, type ReturnRecord,
} from './export.js';
export {
	chooseEngine, estimateCandidate, type EngineChoice, type EngineChoiceOptions,
} from './choose-engine.js';
export {
	computePieces, countTokens, pieceTokens, type PieceScope,
} from './pieces.js';
export {createReturnTable, type ReturnAnswer, type ReuseTable} from './reuse-table.js';
export {createDirectory, type PieceDirectory, type PieceDirectoryOptions} from './piece-directory.js';
export {
	Priority, type EngineCandidate, type EngineView, type PromptPlan, type StoreView, type Weights,
} from './types.js';
export {
	createInstanceLoad, estimateOtherRequests, mergeSample, noPeerLoad, type InstanceLoad, type LoadReport, type PeerLoad,
} from './instance-load.js';
export {
	canTakeRequests, createInstanceHealth, HealthEvent, recordHealthEvent, type InstanceHealth,
} from './instance-health.js';
export {
	advanceStanding, canSendTo, classifyStanding, createInstanceStanding, isProperRest, Standing, StandingEventKind, type AnnouncedStanding,
	type InstanceStanding, type StandingEvent,
} from './instance-standing.js';
export {
	chooseInstance, type InstanceOption, type Placement, type PlacementInput, type PromptSize,
} from './choose-instance.js';
export {createChooser, PlacementPolicy, type ChooseInstance} from './baselines.js';
export {
	addWork, computeCorrectionMs, computeWaitMs, correctClock, createWorkBacklog, estimateWork, isOverdue, resetClock, type WorkBacklog, type WorkEstimate,
} from './work-clock.js';
export {
	decideRest, decideWait, freeQueueMs, WaitDecision, type BackoffInput, type WaitQuestion,
} from './decide-wait.js';
export {createCachedParts, type CachedParts, type PromptPart} from './cached-parts.js';
