export {type FetchIncarnation} from './check-run-origin.js';
export {
	AttemptCompletion, startAttempt, type Attempt, type ResponseHead, type AttemptOptions, type AttemptResult,
} from './attempt.js';
export {
	type CacheInstructions, type CallerCodec, type CallerRequestMetadata, type DispatchMetadata, type PromptDescription, type UpstreamResponseMetadata, type UpstreamCodec,
} from './codecs.js';
export {createCoordinatorClient, type CoordinatorClient, type CoordinatorClientOptions} from './coordinator-client.js';
export {createEventStreamSplitter, type EventStreamSplitter} from './event-stream-splitter.js';
export {filterHeaders, ExchangeOutcome} from './exchange.js';
export {
	createGateway, type Gateway, type GatewayOptions, type RetryAllowance,
} from './gateway.js';
export {sendResponseHead, sendUpstreamResponse, type ResponseHeadOptions} from './send-response.js';
export {UpstreamAgent, type UpstreamAgentOptions} from './upstream-agent.js';
export {
	createTargetVersionHistory, classifyOutdatedAge, classifyWeights, findNewerTarget, findStartDeadlineMs, OutdatedAge, recordTargetVersions, WeightsUse,
	type NewerTarget, type TargetVersion, type TargetVersionHistory, type WeightsQuery,
} from './target-version-history.js';
