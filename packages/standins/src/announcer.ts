import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';

export type AnnounceOptions = {
	/** Upstream listeners of entries; the next is tried where one does not answer. */
	readonly entries: readonly string[];
	readonly joinKey: string;
	readonly id: string;
	/** Made anew for each renewal, with the load as it is then. */
	readonly createMessage: () => Record<string, unknown>;
	readonly signal: AbortSignal;
};

const retryMs = 200;
const timeoutMs = 1000;

/** Announces an upstream and renews until the signal; then withdraws. */
export async function announce(options: AnnounceOptions): Promise<void> {
	const {entries, joinKey, id, createMessage, signal} = options;
	const headers = {authorization: `Bearer ${joinKey}`, 'content-type': 'application/json'};
	let position = 0;

	while (!signal.aborted) {
		const renewMs = await announceOnce(entries[position]!, headers, createMessage());
		position = renewMs === undefined ? (position + 1) % entries.length : position;
		await pause(renewMs ?? retryMs, signal);
	}

	try {
		const response = await request(`http://${entries[position]}/v1/upstreams/${id}`, {method: 'DELETE', headers});
		await response.body.dump();
	} catch {
		// The entry is gone; the lease runs out.
	}
}

async function announceOnce(entry: string, headers: Record<string, string>, message: Record<string, unknown>): Promise<number | undefined> {
	try {
		const response = await request(`http://${entry}/v1/upstreams`, {
			method: 'POST', headers, body: JSON.stringify(message), headersTimeout: timeoutMs, bodyTimeout: timeoutMs,
		});
		const body = await response.body.json() as {readonly renewWithinMs?: number};

		return response.statusCode === 200 ? body.renewWithinMs : undefined;
	} catch {
		return undefined;
	}
}

async function pause(ms: number, signal: AbortSignal): Promise<void> {
	try {
		await sleep(ms, undefined, {signal});
	} catch {
		// Aborted: the loop ends.
	}
}
