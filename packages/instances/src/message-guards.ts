import {
	isNonNegativeInteger, isBoolean, isArrayOf, isNumberInRange, isOneOf, isOptional, isObjectWith, isStringUpTo, isTupleOf, type TypeGuard,
} from '@fescuestair/core';
import {
	DaemonRole, HelloKind, type Hello, type HelloReply, type PublishedSnapshot,
} from './daemons.js';
import {type LoadUpdate} from './load-update.js';
import {isRequestLimitNotes} from './request-limit-note.js';
import {InstanceStage, type InstanceRecord, type InstanceUpdate} from './types.js';

/** Length limit of names and addresses. */
const maxNameLength = 500;
/** Limit of instances or daemons in one message: ten times the size that the system is designed for. */
const maxListLength = 10_000;
const maxModelsPerInstance = 100;
/** Maximum size of an operator's request body, with a margin. */
const maxConfigLength = 16_000_000;
/** One day, far above any age that is sent. */
const maxAgeMs = 86_400_000;
/** Limit of the work of one instance in one update: an hour, far above any queue. */
const maxWorkMs = 3_600_000;
/** Limits of the requests in flight at one instance, and of the tokens that they hold. */
const maxRequests = 1_000_000;
const maxHeldTokens = 1e12;
/** Limit of the factor of time that work takes at an instance, far above that of one which still serves. */
export const maxSlowdown = 1000;

const isName = isStringUpTo(maxNameLength);
const isAgeMs = isNumberInRange(0, maxAgeMs);

/** Whether a record of an instance is within the limits that all daemons check, so that none refuses the messages that hold it. */
export const isInstanceRecord: TypeGuard<InstanceRecord> = isObjectWith({
	id: isName, service: isName, address: isName, availabilityZone: isName, softwareVersion: isOptional(isName), slots: isNonNegativeInteger, stage: isOneOf(Object.values(InstanceStage)),
	coldLeftMs: isOptional(isNumberInRange(-maxAgeMs, maxAgeMs)), models: isArrayOf(isObjectWith({name: isName, version: isNonNegativeInteger}), maxModelsPerInstance),
	incarnation: isNonNegativeInteger, sequence: isNonNegativeInteger,
});

const isInstanceUpdate = isObjectWith({record: isInstanceRecord, ageMs: isAgeMs, loadingLeftMs: isAgeMs});
export const isInstanceUpdates: TypeGuard<readonly InstanceUpdate[]> = isArrayOf(isInstanceUpdate, maxListLength);

const isDaemonRecord = isObjectWith({
	name: isName, role: isOneOf(Object.values(DaemonRole)), incarnation: isNonNegativeInteger, linkAddress: isName, serviceAddress: isName, availabilityZone: isName,
	isReady: isBoolean, sequence: isNonNegativeInteger, leaving: isOptional(isObjectWith({sinceWallMs: isNonNegativeInteger, isAccepting: isBoolean})),
});
const isDaemonRecords = isArrayOf(isDaemonRecord, maxListLength);
const isHomeList = isObjectWith({incarnation: isNonNegativeInteger, revision: isNonNegativeInteger, cards: isDaemonRecords});
const isUpdateCursor = isObjectWith({bootId: isOptional(isName), revision: isNonNegativeInteger});

const isTargetAges = isArrayOf(isTupleOf(isName, isNonNegativeInteger, isNumberInRange(0, Number.MAX_SAFE_INTEGER)), maxListLength);

export const isPublishedSnapshot = isObjectWith({
	revision: isNonNegativeInteger, configVersion: isNonNegativeInteger, configText: isOptional(isStringUpTo(maxConfigLength)), weights: isTargetAges,
	evacuatedZones: isOptional(isArrayOf(isName, maxListLength)), heldMs: isOptional(isNumberInRange(0, Number.MAX_SAFE_INTEGER)),
}) as TypeGuard<unknown> as TypeGuard<PublishedSnapshot>;

export const isHello = isObjectWith({
	card: isDaemonRecord, greeting: isOneOf(Object.values(HelloKind)), publishedRevision: isNonNegativeInteger, configVersion: isNonNegativeInteger,
	newsAfter: isOptional(isUpdateCursor), wantsFleet: isBoolean, homes: isOptional(isHomeList), evidenceDigest: isOptional(isName),
}) as TypeGuard<unknown> as TypeGuard<Hello>;

export const isHelloReply = isObjectWith({
	news: isOptional(isObjectWith({cursor: isUpdateCursor, notes: isInstanceUpdates})),
	fleet: isOptional(isObjectWith({
		renewals: isArrayOf(isTupleOf(isName, isNonNegativeInteger, isNonNegativeInteger, isAgeMs), maxListLength), coordinators: isDaemonRecords, gateways: isNonNegativeInteger,
		requestLimits: isOptional(isRequestLimitNotes),
	})),
	published: isOptional(isPublishedSnapshot),
	leaderAddress: isOptional(isName),
	isCurrent: isBoolean,
	stateAgeMs: isOptional(isNumberInRange(0, Number.MAX_SAFE_INTEGER)),
	targetAges: isOptional(isTargetAges),
	heldHomes: isOptional(isObjectWith({incarnation: isNonNegativeInteger, revision: isNonNegativeInteger})),
	peers: isOptional(isObjectWith({
		known: isNonNegativeInteger, ready: isNonNegativeInteger, acceptingAfter: isNonNegativeInteger, ending: isNonNegativeInteger,
	})),
}) as TypeGuard<unknown> as TypeGuard<HelloReply>;

export const isLoadUpdate = isObjectWith({
	shares: isOptional(isArrayOf(isTupleOf(isName, isNumberInRange(0, maxRequests), isNumberInRange(0, maxHeldTokens)), maxListLength)),
	work: isArrayOf(isTupleOf(isName, isNumberInRange(-maxWorkMs, maxWorkMs), isNumberInRange(-maxWorkMs, maxWorkMs)), maxListLength),
	paces: isOptional(isArrayOf(isTupleOf(isName, isNumberInRange(0, maxSlowdown)), maxListLength)),
}) as TypeGuard<unknown> as TypeGuard<LoadUpdate>;
