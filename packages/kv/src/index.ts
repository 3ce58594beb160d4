export {findHome, listHomes, type HomeCandidate} from './homes.js';
export {
	applyCacheEvents, applyCacheSnapshot, type EventPosition, type CacheUpdate, type PieceChange,
} from './follow-events.js';
export {
	countQueuedBytes, createLinkBudget, releaseLink, reserveLink, setLinkShare, computeLinkShare, type LinkBudget, type LinkShareInput,
} from './link-budget.js';
export {
	cacheEventsSchema, cacheSnapshotSchema, exportResponseSchema, importResponseSchema, manifestsResponseSchema, pieceManifestSchema, receivedPieceSchema, type CacheEvent,
	type CacheEvents, type CacheSnapshot, type PieceManifest, type ReceivedPiece,
} from './messages.js';
export {
	PieceFault, filterVerified, type VerificationResult, type VerificationInput,
} from './verify.js';
