import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';

export type AnnounceOptions = {
	/** Addresses of the entries' upstream listeners. If one does not accept the announcement, the next is tried. */
	readonly entries: readonly string[];
	readonly joinKey: string;
	readonly id: string;
	/** Called for each renewal, so that it reports the current load. */
	readonly createAnnouncement: () => Record<string, unknown>;
	readonly signal: AbortSignal;
};

const retryIntervalMs = 200;
const responseTimeoutMs = 1000;

/** Announces an upstream and renews the announcement until `signal` aborts; then withdraws it. */
export async function announce(options: AnnounceOptions): Promise<void> {
	const {entries, joinKey, id, createAnnouncement, signal} = options;
	const headers = {authorization: `Bearer ${joinKey}`, 'content-type': 'application/json'};
	let entryIndex = 0;

	while (!signal.aborted) {
		const renewAfterMs = await sendAnnouncement(entries[entryIndex]!, headers, createAnnouncement());
		entryIndex = renewAfterMs === undefined ? (entryIndex + 1) % entries.length : entryIndex;
		await waitOrAbort(renewAfterMs ?? retryIntervalMs, signal);
	}

	try {
		const response = await request(`http://${entries[entryIndex]}/v1/upstreams/${id}`, {method: 'DELETE', headers});
		await response.body.dump();
	} catch {
		// The entry is gone; the lease runs out.
	}
}

/** Returns the time until the next renewal, or `undefined` if the entry did not accept the announcement. */
async function sendAnnouncement(entry: string, headers: Record<string, string>, message: Record<string, unknown>): Promise<number | undefined> {
	try {
		const response = await request(`http://${entry}/v1/upstreams`, {
			method: 'POST', headers, body: JSON.stringify(message), headersTimeout: responseTimeoutMs, bodyTimeout: responseTimeoutMs,
		});
		const body = await response.body.json() as {readonly renewWithinMs?: number};

		return response.statusCode === 200 ? body.renewWithinMs : undefined;
	} catch {
		return undefined;
	}
}

async function waitOrAbort(ms: number, signal: AbortSignal): Promise<void> {
	try {
		await sleep(ms, undefined, {signal});
	} catch {
		// Aborted: the loop ends.
	}
}
