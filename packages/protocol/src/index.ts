export {
	type AnnounceMessage, announceSchema, encodeLoad, decodeLoad, engineLoadSchema, type EngineLoad, UpstreamKind, type UpstreamDetails,
} from './upstream.js';
export {
	EventIdError, formatEventId, parseEventId, type EventId,
} from './event-id.js';
export {
	AttemptEnd, type Candidate, FateEventKind, FateOutcome, type FateEvent, type Fate,
} from './request-event.js';
export {describeFate} from './describe-request.js';
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
	createLinkCommands, LinkFaultKind, type LinkCommand, type LinkCommands, type LinkFault, type LinkReplier,
} from './link-commands.js';
export {
	isAgeMs, isFindFatesMessage, isFindPiecesMessage, isGossipMessage, isJoinMessage, isLinkReply, isName, isNotePiecesMessage,
	isNoteReturnMessage, isPollStateMessage, isRecordFatesMessage,
} from './link-message-guards.js';
export {
	callChecked, ReplyError, requireChecked, type LinkCaller,
} from './call-and-validate.js';
export {headerNames} from './headers.js';
export {
	defineSetting, readSettings, type SettingDefinition, type SettingValues,
} from './settings.js';
