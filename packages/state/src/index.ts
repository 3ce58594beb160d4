export {applyCommand, createReplicatedState, type ApplyResult} from './apply-command.js';
export {encodeClaimKey} from './claims.js';
export {
	ItemKind, itemSchemas, RequestClass, type ConfigItem, type ModelItem, type OrganisationItem, type PresetItem, type ServiceItem, type UpstreamPolicyItem,
} from './config-items.js';
export {parseDeclarations, type DeclarationFile, type Declarations} from './declarations.js';
export {diffItems, formatDiff, type ItemDiff} from './diff.js';
export {
	applyPublicChange, createPublicState, findItem, getInForceName, getPresetInForce, inForceKey, isQuarantined, listItems, listPublicNews, type PublicChange,
	type PublicStateUpdate, type PublicState,
} from './public-state.js';
export {stampRequest, type Request} from './command-request.js';
export {decodeState, encodeState, type EncodedState} from './state-codec.js';
export {
	AnswerKind, ClaimPhase, CommandKind, type Answer, type Claim, type ClaimOutcome, type Command, type HistoryEntry, type ReplicatedState,
} from './types.js';
export {isStateAnswer, isStateRequest} from './message-guards.js';
