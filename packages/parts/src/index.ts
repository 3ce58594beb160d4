export {formatSalt, parseSalt, type PartSalt} from './part-salt.js';
export {chooseStore, type StoreCandidate} from './choose-store.js';
export {
	addParts, answerPoll, applyStoreEvents, createPartsIndex, removeLostParts, removeFreedParts, listFreeableParts, recordUses, retireParts, type AddPartsInput, type PartsIndex,
	type RetirePartsInput, type StoreEventsInput,
} from './parts-index.js';
export {
	deriveKey, fetchTimeoutMs, clockSkewMarginMs, viewLifetimeMs, type PartKey, type PartLocation, type PartsPoll, type PartsReply, type StoredPart,
} from './types.js';
export {
	computeFetchDeadline, createPartsView, locateParts, applyPartsReply, type RequestedPart, type PartsView,
} from './view.js';
export {
	answerFromMirror, createPartsMirror, applyMirrorReply, type PartsMirror,
} from './mirror.js';
export {isPartsPoll} from './checks.js';
export {
	isEncodedPartsReply, encodePartsReply, decodePartsReply, type EncodedPartsReply,
} from './encoded-reply.js';
