import {
	isCount, isFlag, isListOf, isNumberIn, isOneOf, isOptional, isRecordOf, isTextUpTo, isTupleOf, type Guard,
} from '@fescuestair/core';
import {
	DaemonRole, GreetingRole, type Hello, type HelloReply, type Published,
} from './daemons.js';
import {type LoadNote} from './load-note.js';
import {InstanceStage, type InstanceNote} from './types.js';

/** Names and addresses. */
const maxNameLength = 500;
/** Instances or daemons in one message: ten times the size that the system is built for. */
const maxListed = 10_000;
/** Models of one instance. */
const maxModels = 100;
/** As large as a body of the operators may be, with room. */
const maxConfigLength = 16_000_000;
/** A day, far beyond any age that is told. */
const maxAgeMs = 86_400_000;
/** Work of one instance that one note tells of: an hour, far beyond any queue. */
const maxWorkMs = 3_600_000;
/** Requests at one instance, and their tokens. */
const maxRequests = 1_000_000;
const maxHeldTokens = 1e12;

const isName = isTextUpTo(maxNameLength);
const isAgeMs = isNumberIn(0, maxAgeMs);

const isInstanceRecord = isRecordOf({
	id: isName, service: isName, address: isName, availabilityZone: isName, slots: isCount, stage: isOneOf(Object.values(InstanceStage)),
	coldLeftMs: isNumberIn(-maxAgeMs, maxAgeMs), models: isListOf(isRecordOf({name: isName, version: isCount}), maxModels), incarnation: isCount, sequence: isCount,
});

const isInstanceNote = isRecordOf({record: isInstanceRecord, ageMs: isAgeMs, loadingLeftMs: isAgeMs});
export const isInstanceNotes: Guard<readonly InstanceNote[]> = isListOf(isInstanceNote, maxListed);

const isDaemonCard = isRecordOf({
	name: isName, role: isOneOf(Object.values(DaemonRole)), incarnation: isCount, linkAddress: isName, serviceAddress: isName, availabilityZone: isName,
	isReady: isFlag, sequence: isCount,
});
const isCards = isListOf(isDaemonCard, maxListed);
const isHomeList = isRecordOf({incarnation: isCount, revision: isCount, cards: isCards});
const isNewsCursor = isRecordOf({bootId: isOptional(isName), revision: isCount});

export const isPublished = isRecordOf({
	revision: isCount, configVersion: isCount, configText: isOptional(isTextUpTo(maxConfigLength)),
	weights: isListOf(isTupleOf(isName, isCount, isNumberIn(0, Number.MAX_SAFE_INTEGER)), maxListed),
}) as Guard<unknown> as Guard<Published>;

export const isHello = isRecordOf({
	card: isDaemonCard, greeting: isOneOf(Object.values(GreetingRole)), publishedRevision: isCount, configVersion: isCount,
	newsAfter: isOptional(isNewsCursor), wantsFleet: isFlag, homes: isOptional(isHomeList),
}) as Guard<unknown> as Guard<Hello>;

export const isHelloReply = isRecordOf({
	news: isOptional(isRecordOf({cursor: isNewsCursor, notes: isInstanceNotes})),
	fleet: isOptional(isRecordOf({
		renewals: isListOf(isTupleOf(isName, isCount, isCount, isAgeMs), maxListed), coordinators: isCards, gateways: isCount,
	})),
	published: isOptional(isPublished),
	leaderAddress: isOptional(isName),
	isCurrent: isFlag,
	heldHomes: isOptional(isRecordOf({incarnation: isCount, revision: isCount})),
}) as Guard<unknown> as Guard<HelloReply>;

export const isLoadNote = isRecordOf({
	shares: isOptional(isListOf(isTupleOf(isName, isNumberIn(0, maxRequests), isNumberIn(0, maxHeldTokens)), maxListed)),
	work: isListOf(isTupleOf(isName, isNumberIn(-maxWorkMs, maxWorkMs), isNumberIn(-maxWorkMs, maxWorkMs)), maxListed),
}) as Guard<unknown> as Guard<LoadNote>;
