import {
	isCount, isFlag, isListOf, isNumberIn, isOneOf, isOptional, isRecordOf, isTextUpTo, isTupleOf, type Guard,
} from '@fescuestair/core';
import {
	DaemonRole, HelloKind, type Hello, type HelloReply, type PublishedSnapshot,
} from './daemons.js';
import {type LoadUpdate} from './load-note.js';
import {InstanceStage, type InstanceUpdate} from './types.js';

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

const isName = isTextUpTo(maxNameLength);
const isAgeMs = isNumberIn(0, maxAgeMs);

const isInstanceRecord = isRecordOf({
	id: isName, service: isName, address: isName, availabilityZone: isName, slots: isCount, stage: isOneOf(Object.values(InstanceStage)),
	coldLeftMs: isNumberIn(-maxAgeMs, maxAgeMs), models: isListOf(isRecordOf({name: isName, version: isCount}), maxModelsPerInstance), incarnation: isCount, sequence: isCount,
});

const isInstanceUpdate = isRecordOf({record: isInstanceRecord, ageMs: isAgeMs, loadingLeftMs: isAgeMs});
export const isInstanceUpdates: Guard<readonly InstanceUpdate[]> = isListOf(isInstanceUpdate, maxListLength);

const isDaemonRecord = isRecordOf({
	name: isName, role: isOneOf(Object.values(DaemonRole)), incarnation: isCount, linkAddress: isName, serviceAddress: isName, availabilityZone: isName,
	isReady: isFlag, sequence: isCount,
});
const isDaemonRecords = isListOf(isDaemonRecord, maxListLength);
const isHomeList = isRecordOf({incarnation: isCount, revision: isCount, cards: isDaemonRecords});
const isUpdateCursor = isRecordOf({bootId: isOptional(isName), revision: isCount});

export const isPublishedSnapshot = isRecordOf({
	revision: isCount, configVersion: isCount, configText: isOptional(isTextUpTo(maxConfigLength)),
	weights: isListOf(isTupleOf(isName, isCount, isNumberIn(0, Number.MAX_SAFE_INTEGER)), maxListLength),
}) as Guard<unknown> as Guard<PublishedSnapshot>;

export const isHello = isRecordOf({
	card: isDaemonRecord, greeting: isOneOf(Object.values(HelloKind)), publishedRevision: isCount, configVersion: isCount,
	newsAfter: isOptional(isUpdateCursor), wantsFleet: isFlag, homes: isOptional(isHomeList),
}) as Guard<unknown> as Guard<Hello>;

export const isHelloReply = isRecordOf({
	news: isOptional(isRecordOf({cursor: isUpdateCursor, notes: isInstanceUpdates})),
	fleet: isOptional(isRecordOf({
		renewals: isListOf(isTupleOf(isName, isCount, isCount, isAgeMs), maxListLength), coordinators: isDaemonRecords, gateways: isCount,
	})),
	published: isOptional(isPublishedSnapshot),
	leaderAddress: isOptional(isName),
	isCurrent: isFlag,
	heldHomes: isOptional(isRecordOf({incarnation: isCount, revision: isCount})),
}) as Guard<unknown> as Guard<HelloReply>;

export const isLoadUpdate = isRecordOf({
	shares: isOptional(isListOf(isTupleOf(isName, isNumberIn(0, maxRequests), isNumberIn(0, maxHeldTokens)), maxListLength)),
	work: isListOf(isTupleOf(isName, isNumberIn(-maxWorkMs, maxWorkMs), isNumberIn(-maxWorkMs, maxWorkMs)), maxListLength),
}) as Guard<unknown> as Guard<LoadUpdate>;
