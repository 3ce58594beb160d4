export {
	type AnnounceMessage, announceSchema, encodeLoad, decodeLoad, engineLoadSchema, type EngineLoad, UpstreamKind, type UpstreamDetails,
} from './upstream.js';
export {
	EventIdError, formatEventId, parseEventId, type EventId,
} from './event-id.js';
export {
	AttemptEnd, type Candidate, FateEventKind, FateOutcome, type FateEvent, type Fate,
} from './fate.js';
export {describeFate} from './describe-fate.js';
export {
	LinkKind, type LinkMessage, type LinkReply, ProposalError,
} from './link-messages.js';
export {createChunk, createCompletion} from './openai/completions.js';
export {
	checkShape, parseJsonBody, parsePrompt, type ParsedPrompt,
} from './openai/parse.js';
export {
	Ran, RefusalCode, RefusalError, formatRefusal, type Refusal, getRefusalStatus,
} from './refusal.js';
export {
	createLinkCommands, dispatchLinkMessage, type LinkCommand, type LinkCommands,
} from './link-commands.js';
export {headerNames} from './headers.js';
export {
	defineSetting, readSettings, type SettingDefinition, type SettingValues,
} from './settings.js';
