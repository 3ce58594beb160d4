export {
	estimateReuseProbability, shouldExport, type ExportInput, type ReuseCounts,
} from './export.js';
export {
	chooseEngine, estimateCandidate, type EngineChoice, type EngineChoiceOptions,
} from './choose-engine.js';
export {
	hashPieces, estimateTokenCount, pieceTokens, type PieceScope,
} from './pieces.js';
export {createReuseTable, type ReuseStatistics, type ReuseTable} from './reuse-table.js';
export {createPieceDirectory, type PieceDirectory, type PieceDirectoryOptions} from './piece-directory.js';
export {
	Priority, type EngineCandidate, type EngineView, type PromptPlan, type StoreView, type Weights,
} from './types.js';
export {
	createInstanceLoad, estimateOtherRequests, estimateSlownessMs, computeLoadSpread, noPeerLoad, recordRequestTime, type InstanceLoad, type LoadReport, type Pace, type PeerLoad,
} from './instance-load.js';
export {type RevisitInput} from './find-stale-instance.js';
export {
	canTakeRequests, createInstanceHealth, HealthEvent, recordHealthEvent, type InstanceHealth,
} from './instance-health.js';
export {
	applyInstanceEvent, canSendTo, classifyInstance, createInstanceState, isValidBackoff, InstanceStatus, InstanceEventKind, type AnnouncedState,
	type InstanceState, type InstanceEvent,
} from './instance-state.js';
export {
	chooseInstance, type InstanceOption, type Placement, type PlacementInput, type PromptSize,
} from './choose-instance.js';
export {createChooser, PlacementPolicy, type ChooseInstance} from './placement-policies.js';
export {
	addWork, computeCorrectionMs, computeWaitMs, correctBacklog, createWorkBacklog, estimateWork, isOverdue, resetBacklog, type WorkBacklog, type WorkEstimate,
} from './work-backlog.js';
export {
	decideBackoff, decideReopening, decideWait, maxIdleQueueMs, WaitDecision, type BackoffInput, type ReopeningInput, type WaitInput,
} from './decide-wait.js';
export {createCachedParts, type CachedParts, type PromptPart} from './cached-parts.js';
export {
	endPause, noPauses, recordFirstOutput, startPause, type Pauses,
} from './pauses.js';
export {pickByLevel, type LevelInput, type LeveledOption} from './pick-by-level.js';
export {
	createDispatchRate, estimateUnseenRequests, recordDispatch, type DispatchRate,
} from './unseen-requests.js';
