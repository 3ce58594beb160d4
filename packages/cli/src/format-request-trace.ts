import {
	RequestEventKind, type RoutingCandidate, type RequestHistory, type RequestEvent,
} from '@fescuestair/protocol';

/** Formats the recorded events of a request as text. */
export function formatRequestTrace(fate: RequestHistory): string {
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

function describeEvent(event: RequestEvent): string {
	switch (event.kind) {
		case RequestEventKind.Started: {
			return `begun at ${event.entryId}: ${event.requestClass} ${event.target}, ${event.promptTokens} prompt tokens, preset ${event.preset}`;
		}

		case RequestEventKind.Planned: {
			const candidates = event.candidates.map(candidate => describeCandidate(candidate));

			return `planned for ${event.chosenId} (${event.reason}); candidates: ${candidates.join('; ')}`;
		}

		case RequestEventKind.Claimed: {
			return `claimed: committed by a majority, with fencing token ${event.token}`;
		}

		case RequestEventKind.Fetched: {
			const detail = event.detail === '' ? '' : `: ${event.detail}`;

			return `attempt ${event.attempt} used ${event.used} of ${event.wanted} pieces from ${event.storeId} (${event.bytes} bytes)${detail}`;
		}

		case RequestEventKind.Exported: {
			return `kept ${event.kept} of ${event.wanted} pieces in ${event.storeId} (${event.bytes} bytes)`;
		}

		case RequestEventKind.Dispatched: {
			return `attempt ${event.attempt} sent to ${event.upstreamId}`;
		}

		case RequestEventKind.FirstToken: {
			return `attempt ${event.attempt} returned its first token`;
		}

		case RequestEventKind.AttemptEnded: {
			const detail = event.detail === '' ? '' : `: ${event.detail}`;

			return `attempt ${event.attempt} ended: ${event.end} after ${event.offset} tokens${detail}`;
		}

		case RequestEventKind.RunDecided: {
			const silence = event.silentMs > 0 ? `, silent for ${event.silentMs} ms` : '';
			const successor = event.successorId === undefined ? '' : `; successor: ${event.successorId}`;
			const obstacle = event.obstacle === undefined ? '' : `; nothing takes over: ${event.obstacle}`;

			return `attempt ${event.attempt} at ${event.upstreamId}: ${event.action} (${event.evidence}${silence})${successor}${obstacle}`;
		}

		case RequestEventKind.Finished: {
			const code = event.code === undefined ? '' : ` ${event.code}`;

			return `finished: ${event.outcome}${code}, status ${event.status}, ${event.ran}, ${event.tokens} tokens`;
		}
	}
}

function describeCandidate({upstreamId, cost, queueMs, fetchMs, prefillMs, recomputedTokens}: RoutingCandidate): string {
	const times = `queue ${Math.round(queueMs)} ms, fetch ${Math.round(fetchMs)} ms, prefill ${Math.round(prefillMs)} ms`;

	return `${upstreamId} ${cost.toFixed(3)} (${times}, recompute ${recomputedTokens} tokens)`;
}
