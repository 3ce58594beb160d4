export {
	estimateReturn, shouldExport, type ExportQuestion, type ReturnRecord,
} from './export.js';
export {
	chooseEngine, estimateCandidate, type Choice, type ChooseOptions,
} from './choose.js';
export {
	computePieces, countTokens, pieceTokens, type PieceScope,
} from './pieces.js';
export {createReturnTable, type ReturnAnswer, type ReturnTable} from './return-table.js';
export {createDirectory, type Directory, type DirectoryOptions} from './directory.js';
export {
	Priority, type EngineCandidate, type EngineView, type PromptPlan, type StoreView, type Weights,
} from './types.js';
export {
	createInstanceLoad, estimateOthers, mergeSample, noPeerLoad, type InstanceLoad, type LoadReport, type PeerLoad,
} from './instance-load.js';
export {
	canTakeRequests, createInstanceHealth, HealthEvent, judgeInstance, type InstanceHealth,
} from './instance-health.js';
export {
	advanceStanding, canSendTo, classifyStanding, createInstanceStanding, isProperRest, Standing, StandingEventKind, type AnnouncedStanding,
	type InstanceStanding, type StandingEvent,
} from './instance-standing.js';
export {
	chooseInstance, type InstanceOption, type Placement, type PlacementQuestion, type PromptSize,
} from './choose-instance.js';
export {createChooser, PlacementPolicy, type ChooseInstance} from './baselines.js';
export {
	addWork, computeCorrectionMs, computeWaitMs, correctClock, createWorkClock, estimateWork, isOverdue, resetClock, type WorkClock, type WorkEstimate,
} from './work-clock.js';
export {
	decideRest, decideWait, freeQueueMs, WaitDecision, type RestQuestion, type WaitQuestion,
} from './decide-wait.js';
export {createCachedParts, type CachedParts, type PromptPart} from './cached-parts.js';
