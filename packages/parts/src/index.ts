export {formatSalt, parseSalt, type PartSalt} from './part-salt.js';
export {chooseStore, type StoreCandidate} from './choose-store.js';
export {
	addParts, answerPoll, applyStoreEvents, createKeeper, dropParts, forgetParts, listFreeable, recordUses, retireParts, type AddPartsInput, type Keeper,
	type RetirePartsInput, type StoreEventsInput,
} from './keeper.js';
export {
	deriveKey, fetchTimeoutMs, clockSkewMarginMs, viewLifetimeMs, type PartKey, type PartPlace, type PartsPoll, type PartsReply, type StoredPart,
} from './types.js';
export {
	computeFetchUntil, createPartsView, findPlaces, takePartsReply, type RequestedPart, type PartsView,
} from './view.js';
export {
	answerFromMirror, createPartsMirror, takeMirrorReply, type PartsMirror,
} from './mirror.js';
export {isPartsPoll} from './checks.js';
export {
	isEncodedPartsReply, encodePartsReply, decodePartsReply, type EncodedPartsReply,
} from './encoded-reply.js';
