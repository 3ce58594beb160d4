export {
	type AnnounceMessage, announceSchema, encodeLoad, decodeLoad, engineLoadSchema, type EngineLoad, UpstreamKind, type UpstreamDetails,
} from './upstream.js';
export {
	EventIdError, formatEventId, parseEventId, type EventId,
} from './event-id.js';
export {
	AttemptOutcome, type RoutingCandidate, RequestEventKind, RequestOutcome, type RequestEvent, type RequestHistory,
} from './request-event.js';
export {describeRequest} from './describe-request.js';
export {
	LinkMessageKind, type LinkMessage, type LinkReply, ProposalError,
} from './link-messages.js';
export {createChunk, createCompletion} from './openai/completions.js';
export {
	requireParsed, parseJsonBody, parsePrompt, type ParsedPrompt,
} from './openai/parse.js';
export {
	ExecutionStatus, RefusalCode, RefusalError, formatRefusal, type Refusal, getRefusalStatus,
} from './refusal.js';
export {
	createLinkCommands, LinkFaultKind, type LinkCommand, type LinkCommands, type LinkFault, type LinkReplyCallback,
} from './link-commands.js';
export {
	isAgeMs, isFindRequestEventsMessage, isFindPiecesMessage, isGossipMessage, isInviteToGroupMessage, isJoinMessage, isLinkReply, isName, isRecordPiecesMessage,
	isRecordReuseMessage, isPollStateMessage, isRecordRequestEventsMessage, isRunResumedMessage,
} from './link-message-guards.js';
export {
	callAndValidate, ReplyError, requireValid, type LinkCaller,
} from './call-and-validate.js';
export {headerNames} from './headers.js';
export {
	defineSetting, readSettings, type SettingDefinition, type SettingValues,
} from './settings.js';
