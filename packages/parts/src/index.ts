export {formatSalt, parseSalt, type PartSalt} from './part-salt.js';
export {chooseStore, type StoreChoice} from './choose-store.js';
export {
	addParts, answerPoll, createKeeper, dropParts, forgetParts, listFreeable, retireParts, type AddInput, type Keeper, type RetireInput,
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
export {isPartsPoll, isPartsReply} from './checks.js';
