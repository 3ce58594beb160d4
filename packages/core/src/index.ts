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
	createFinding, formatFindings, FindingsError, type Finding,
} from './findings.js';
export {
	isAnyOf, isAnything, isCount, isFiniteNumber, isFlag, isListOf, isNumberIn, isOneOf, isOptional, isRecordOf, isTextUpTo, isTupleOf, type Guard,
	type GuardedType,
} from './guards.js';
export {computeHash, computeHashHex} from './hash.js';
export {createId, readIdTimeMs} from './ids.js';
export {invariant} from './invariant.js';
export {pickByRendezvous, rankByRendezvous} from './rendezvous.js';
export {createSubject, type Subject} from './subject.js';
export {
	createTask, type Step, type Actor, type ActorOptions,
} from './actor.js';
export {parseSeconds} from './parse-seconds.js';
