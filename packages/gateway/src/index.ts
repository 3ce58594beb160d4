export {
	AttemptEnd, startAttempt, type Attempt, type AttemptHead, type AttemptOptions, type AttemptResult,
} from './attempt.js';
export {
	type CacheOrder, type CallerCodec, type CallerRequest, type DispatchOrder, type PromptDescription, type UpstreamAnswer, type UpstreamCodec,
} from './codecs.js';
export {readBytes} from './read-bytes.js';
export {createCoordinatorClient, type CoordinatorClient, type CoordinatorClientOptions} from './coordinator-client.js';
export {createEventCutter, type EventCutter} from './event-cutter.js';
export {filterHeaders, Outcome} from './exchange.js';
export {
	createGateway, type Gateway, type GatewayOptions, type RetryAllowance,
} from './gateway.js';
export {sendAnswerHead, sendUpstreamAnswer, type AnswerOptions} from './send-answer.js';
export {UpstreamAgent, type UpstreamAgentOptions} from './upstream-agent.js';
export {
	createAnnouncedWeights, classifyWeights, recordAnnouncedWeights, WeightsUse, type AnnouncedWeights, type WeightsQuery,
} from './named-weights.js';
