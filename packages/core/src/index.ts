export {
	buildBucketMap, countBucketMap, createBucketMap, filterBucketMap, getFromBucketMap, listBucketMap, setInBucketMap, type BucketMap,
} from './bucket-map.js';
export {
	type Clock, createSystemClock, createManualClock, type ManualClock,
} from './clock.js';
export {
	createCommandRegistry, type CommandRegistry, type CommandHandler, CommandPriority,
} from './commands.js';
export {BaseError, InvariantError} from './errors.js';
export {
	createFinding, formatFindings, formatIndented, FindingsError, type Finding,
} from './findings.js';
export {
	isAnyOf, isUnknown, isNonNegativeInteger, isFiniteNumber, isBoolean, isArrayOf, isNumberInRange, isOneOf, isOptional, isObjectWith, isStringUpTo, isTupleOf, type TypeGuard,
	type GuardedType,
} from './guards.js';
export {computeHash, computeHashHex} from './hash.js';
export {createId, readIdTimeMs} from './ids.js';
export {invariant} from './invariant.js';
export {pickByRendezvous, rankByRendezvous} from './rendezvous.js';
export {startInterval} from './start-interval.js';
export {createSubject, type Subject} from './subject.js';
export {
	createActor, type Step, type Actor, type ActorOptions,
} from './actor.js';
export {parseDecimal, parseSecondsToMs} from './parse-decimal.js';
