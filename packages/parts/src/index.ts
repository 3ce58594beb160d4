export {formatSalt, parseSalt, type PartSalt} from './part-salt.js';
export {chooseStore, type StoreChoice} from './choose-store.js';
export {
	addParts, answerPoll, applyStoreEvents, createKeeper, dropParts, forgetParts, listFreeable, recordUses, retireParts, type AddInput, type Keeper,
	type RetireInput, type StoreEventsInput,
} from './keeper.js';
export {
	deriveKey, fetchMs, freeMarginMs, viewMs, type PartKey, type PartPlace, type PartsPoll, type PartsReply, type StoredPart,
} from './types.js';
export {
	computeFetchUntil, createPartsView, findPlaces, takePartsReply, type NamedPart, type PartsView,
} from './view.js';
export {
	answerFromMirror, createPartsMirror, takeMirrorReply, type PartsMirror,
} from './mirror.js';
export {isPartsPoll} from './checks.js';
export {
	isEncodedPartsReply, encodePartsReply, decodePartsReply, type EncodedPartsReply,
} from './encoded-reply.js';
