import {
	FateEventKind, type Candidate, type Fate, type FateEvent,
} from '@fescuestair/protocol';

/** Formats the recorded events of a request as text. */
export function formatRequestTrace(fate: Fate): string {
	const startMs = fate.events[0]?.atMs ?? 0;
	const lines = fate.events.map(event => `  ${formatTime(event.atMs, startMs)}  ${describeEvent(event)}`);

	return [
		`request       ${fate.requestId}`,
		`organisation  ${fate.organisation ?? 'unknown'}`,
		`outcome       ${fate.summary}`,
		...lines,
	].join('\n');
}

function formatTime(atMs: number, startMs: number): string {
	return `${new Date(atMs).toISOString()} +${String(atMs - startMs).padStart(6)} ms`;
}

function describeEvent(event: FateEvent): string {
	switch (event.kind) {
		case FateEventKind.Begun: {
			return `begun at ${event.entryId}: ${event.requestClass} ${event.target}, ${event.promptTokens} prompt tokens, preset ${event.preset}`;
		}

		case FateEventKind.Planned: {
			const candidates = event.candidates.map(candidate => describeCandidate(candidate));

			return `planned for ${event.chosenId} (${event.reason}); candidates: ${candidates.join('; ')}`;
		}

		case FateEventKind.Claimed: {
			return `claimed: committed by a majority, with fencing token ${event.token}`;
		}

		case FateEventKind.Fetched: {
			const detail = event.detail === '' ? '' : `: ${event.detail}`;

			return `attempt ${event.attempt} used ${event.used} of ${event.wanted} pieces from ${event.storeId} (${event.bytes} bytes)${detail}`;
		}

		case FateEventKind.Exported: {
			return `kept ${event.kept} of ${event.wanted} pieces in ${event.storeId} (${event.bytes} bytes)`;
		}

		case FateEventKind.Dispatched: {
			return `attempt ${event.attempt} sent to ${event.upstreamId}`;
		}

		case FateEventKind.FirstToken: {
			return `attempt ${event.attempt} returned its first token`;
		}

		case FateEventKind.AttemptEnded: {
			const detail = event.detail === '' ? '' : `: ${event.detail}`;

			return `attempt ${event.attempt} ended: ${event.end} after ${event.offset} tokens${detail}`;
		}

		case FateEventKind.Finished: {
			const code = event.code === undefined ? '' : ` ${event.code}`;

			return `finished: ${event.outcome}${code}, status ${event.status}, ${event.ran}, ${event.tokens} tokens`;
		}
	}
}

function describeCandidate({upstreamId, cost, queueMs, fetchMs, prefillMs, recomputedTokens}: Candidate): string {
	const times = `queue ${Math.round(queueMs)} ms, fetch ${Math.round(fetchMs)} ms, prefill ${Math.round(prefillMs)} ms`;

	return `${upstreamId} ${cost.toFixed(3)} (${times}, recompute ${recomputedTokens} tokens)`;
}
