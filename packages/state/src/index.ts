export {applyCommand, createReplicatedState, type ApplyResult} from './apply-command.js';
export {encodeClaimKey} from './claims.js';
export {
	ItemKind, itemSchemas, RequestClass, type ConfigItem, type ModelItem, type OrganisationItem, type PresetItem, type ServiceItem, type UpstreamPolicyItem,
} from './config-items.js';
export {
	findInvalidItems, findItemWarnings, getItemKey, listSharedKeys, type SharedKey,
} from './check-items.js';
export {parseDeclarations, type DeclarationFile, type Declarations} from './declarations.js';
export {diffItems, formatDiff, type ItemDiff} from './diff.js';
export {
	applyPublicChange, createPublicState, findItem, getPresetInForceName, getPresetInForce, presetInForceKey, findHeldBackTrait, hasCrashSuspect, isQuarantined, listItems,
	createPublicStateUpdate, type PublicChange,
	type PublicStateUpdate, type PublicState,
} from './public-state.js';
export {createCommand, type CommandRequest} from './command-request.js';
export {decodeState, encodeState, type EncodedState} from './state-codec.js';
export {
	CommandResponseKind, ClaimPhase, CommandKind, type CommandResponse, type Claim, type ClaimOutcome, type Command, type HistoryEntry, type ReplicatedState,
} from './types.js';
export {isCommandResponse, isCommandRequest} from './message-guards.js';
