import {
	isArrayOf, isBoolean, isNonNegativeInteger, isNumberInRange, isObjectWith, isOptional, isStringUpTo, isTupleOf, type GuardedType,
} from '@fescuestair/core';
import {
	type CrashedRequest, type CrashEvidence, type CrashReport,
} from './crash-evidence.js';
import {type Quarantine} from './quarantine.js';

const maxNameLength = 200;
const maxTraits = 64;
const maxListLength = 1000;
const maxSpanMs = 86_400_000;
const isName = isStringUpTo(maxNameLength);
const isAgeMs = isNumberInRange(0, maxSpanMs);

/** Traits of a request in a message. */
export const isTraits = isArrayOf(isName, maxTraits);

/** Evidence in a message between daemons. Carries ages, because their clocks differ. */
export const isCrashReportMessage = isObjectWith({
	crashes: isArrayOf(isObjectWith({
		run: isName, ageMs: isAgeMs, requests: isArrayOf(isObjectWith({traits: isTraits, sentAgeMs: isAgeMs}), maxListLength),
	}), maxListLength),
	answers: isArrayOf(isTupleOf(isName, isAgeMs), maxListLength),
	trials: isArrayOf(isTupleOf(isName, isAgeMs, isNonNegativeInteger), maxListLength),
	/** Runs of instances that refuse connections. */
	endedRuns: isArrayOf(isName, maxListLength),
});
export type CrashReportMessage = GuardedType<typeof isCrashReportMessage>;

/** What a coordinator tells gateways. */
export const isQuarantineMessage = isObjectWith({
	quarantined: isArrayOf(isObjectWith({trait: isName, trialInMs: isNumberInRange(-maxSpanMs, maxSpanMs), crashCount: isNonNegativeInteger}), maxListLength),
	suspected: isArrayOf(isName, maxListLength),
	/** Runs of instances that ended lately; the requests that were lost under them are to be reported. */
	endedRuns: isArrayOf(isName, maxListLength),
	/** For how long the coordinator has collected evidence. */
	collectedForMs: isNumberInRange(0, Number.MAX_SAFE_INTEGER),
});
export type QuarantineMessage = GuardedType<typeof isQuarantineMessage>;

/** Reply to a gateway that wants to send a request as a trial. */
export const isTrialReply = isObjectWith({isGranted: isBoolean, retryInMs: isNumberInRange(0, maxSpanMs)});
export type TrialReply = GuardedType<typeof isTrialReply>;

/** Evidence that a daemon lacks, as a whole. */
export const isOptionalCrashReport = isOptional(isCrashReportMessage);

const clampAge = (ageMs: number) => Math.min(maxSpanMs, Math.max(0, Math.round(ageMs)));

/** Encodes evidence for another daemon. */
export function encodeCrashReport({crashes = [], answers = [], trials = []}: CrashReport, {nowMs, endedRuns = []}: {
	readonly nowMs: number; readonly endedRuns?: readonly string[];
}): CrashReportMessage {
	const encodeRequest = ({traits, sentAtMs}: CrashedRequest) => ({traits, sentAgeMs: clampAge(nowMs - sentAtMs)});

	return {
		crashes: crashes.map(({run, atMs, requests}) => ({run, ageMs: clampAge(nowMs - atMs), requests: requests.map(request => encodeRequest(request))})),
		answers: answers.map(({trait, atMs}) => [trait, clampAge(nowMs - atMs)] as const),
		trials: trials.map(({trait, atMs, count}) => [trait, clampAge(nowMs - atMs), count] as const),
		endedRuns,
	};
}

/** Decodes evidence of another daemon: ages become times of this daemon's clock. */
export function decodeCrashReport({crashes, answers, trials}: CrashReportMessage, nowMs: number): CrashReport {
	return {
		crashes: crashes.map(({run, ageMs, requests}) => ({
			run, atMs: nowMs - ageMs, requests: requests.map(({traits, sentAgeMs}) => ({traits, sentAtMs: nowMs - sentAgeMs})),
		})),
		answers: answers.map(([trait, ageMs]) => ({trait, atMs: nowMs - ageMs})),
		trials: trials.map(([trait, ageMs, count]) => ({trait, atMs: nowMs - ageMs, count})),
	};
}

/** Describes all evidence, for a daemon that may have missed some. */
export function listCrashEvidence({crashes, answeredAtMs, trials}: CrashEvidence): CrashReport {
	return {
		crashes: [...crashes].map(([run, {atMs, requests}]) => ({run, atMs, requests: [...requests.values()]})),
		answers: [...answeredAtMs].map(([trait, atMs]) => ({trait, atMs})),
		trials: [...trials].map(([trait, {count, lastAtMs}]) => ({trait, atMs: lastAtMs, count})),
	};
}

/** Encodes a quarantine for gateways. */
export function encodeQuarantine({quarantined, suspected}: Quarantine, {nowMs, endedRuns, collectedForMs}: {
	readonly nowMs: number; readonly endedRuns: readonly string[]; readonly collectedForMs: number;
}): QuarantineMessage {
	return {
		quarantined: [...quarantined].map(([trait, {trialAtMs, crashCount}]) => ({trait, trialInMs: Math.round(trialAtMs - nowMs), crashCount})),
		suspected: [...suspected],
		endedRuns,
		collectedForMs,
	};
}

/** Decodes the quarantine that a coordinator names. */
export function decodeQuarantine({quarantined, suspected}: QuarantineMessage, nowMs: number): Quarantine {
	return {
		quarantined: new Map(quarantined.map(({trait, trialInMs, crashCount}) => [trait, {trialAtMs: nowMs + trialInMs, crashCount}])),
		suspected: new Set(suspected),
	};
}
