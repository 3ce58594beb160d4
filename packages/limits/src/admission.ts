import {
	createBucketMap, getFromBucketMap, setInBucketMap, type BucketMap,
} from '@fescuestair/core';
import {createTokenBucket, takeTokens, type TokenBucket} from './token-bucket.js';

/** System-wide limit for one organisation and request class. */
export type ClassLimit = {
	readonly concurrent: number;
	readonly perSecond: number;
};

type Account = {
	readonly running: number;
	readonly bucket: TokenBucket;
};

/** Admission control of one entry (a daemon that serves callers), which enforces its share of each organisation's limits. */
export type Admission = {
	readonly accounts: BucketMap<Account>;
	/** Fraction of the system-wide limits that this entry grants. */
	readonly share: number;
};

export type AdmissionAnswer = {
	readonly isAdmitted: boolean;
	/** Time after which to retry; 0 if the request is admitted. */
	readonly retryAfterMs: number;
};

/** Capacity of an organisation's token bucket, in seconds of its rate. */
const burstSeconds = 2;
/** Delay after which to retry while all of an organisation's concurrent requests are in use. */
const busyRetryMs = 1000;

/**
Creates the admission control of an entry.

@example
```
const admission = createAdmission(1 / 5);
```
*/
export function createAdmission(share: number): Admission {
	return {accounts: createBucketMap<Account>(), share};
}

/** Sets the share when the number of entries changes. */
export function setShare(admission: Admission, share: number): Admission {
	return admission.share === share ? admission : {...admission, share};
}

type AdmitInput = {
	readonly organisation: string;
	readonly requestClass: string;
	readonly limit: ClassLimit;
	readonly nowMs: number;
};

/**
Admits a request within its organisation's limit, or returns when to retry. Needs no message to other entries, since each
entry grants only its own share.

@example
```
const {admission, answer} = admitRequest(before, {organisation: 'okahandja', requestClass: 'short', limit, nowMs});
```
*/
export function admitRequest(admission: Admission, input: AdmitInput): {readonly admission: Admission; readonly answer: AdmissionAnswer} {
	const {limit, nowMs} = input;
	const key = formatKey(input.organisation, input.requestClass);
	// Each entry admits at least one concurrent request, however many entries share the limit.
	const concurrent = Math.max(1, Math.ceil(limit.concurrent * admission.share));
	const perSecond = limit.perSecond * admission.share;
	const account = findAccount(admission, key, {perSecond, nowMs});

	if (account.running >= concurrent) {
		return {admission, answer: {isAdmitted: false, retryAfterMs: busyRetryMs}};
	}

	const taken = takeTokens(account.bucket, 1, nowMs);
	const running = taken.waitMs === 0 ? account.running + 1 : account.running;
	const accounts = setInBucketMap(admission.accounts, key, {running, bucket: taken.bucket});

	return {admission: {...admission, accounts}, answer: {isAdmitted: taken.waitMs === 0, retryAfterMs: taken.waitMs}};
}

/** Records the end of an admitted request. */
export function finishRequest(admission: Admission, organisation: string, requestClass: string): Admission {
	const key = formatKey(organisation, requestClass);
	const account = getFromBucketMap(admission.accounts, key);

	if (account === undefined) {
		return admission;
	}

	const accounts = setInBucketMap(admission.accounts, key, {...account, running: Math.max(0, account.running - 1)});

	return {...admission, accounts};
}

function formatKey(organisation: string, requestClass: string): string {
	return `${organisation}/${requestClass}`;
}

function findAccount(admission: Admission, key: string, {perSecond, nowMs}: {perSecond: number; nowMs: number}): Account {
	const account = getFromBucketMap(admission.accounts, key);

	if (account?.bucket.perSecond === perSecond) {
		return account;
	}

	const bucket = createTokenBucket({perSecond, capacity: Math.max(1, perSecond * burstSeconds), nowMs});

	return {running: account?.running ?? 0, bucket};
}
