import {
	MemberStatus, type MemberRecord, type Membership, listServing, RecordKind,
} from '@fescuestair/membership';
import {UpstreamKind, type UpstreamDetails} from '@fescuestair/protocol';
import {findItem, ItemKind, type PublicState} from '@fescuestair/state';
import {type EngineView} from '@fescuestair/routing';

/** Own dispatches to engines, which their lagging reports do not show yet. */
export type EngineTable = {
	/** Notes a dispatch; the returned function ends it. */
	readonly beginDispatch: (upstreamId: string, prefillTokens: number) => () => void;
	readonly endPrefill: (upstreamId: string, prefillTokens: number) => void;
	readonly createView: (record: MemberRecord) => EngineView;
	readonly countRunning: (upstreamId: string) => number;
};

type Own = {requests: number; prefillTokens: number; reported: unknown; requestsSinceReport: number};

const defaultLoad = {
	running: 0, waiting: 0, slots: 8, queuedPrefillTokens: 0,
};

/**
Creates the table of an entry.

@example
```
const end = table.beginDispatch('engine-1', 4000);
end();
```
*/
export function createEngineTable(): EngineTable {
	const owns = new Map<string, Own>();

	const getOwn = (upstreamId: string): Own => {
		const own = owns.get(upstreamId) ?? {
			requests: 0, prefillTokens: 0, reported: undefined, requestsSinceReport: 0,
		};
		owns.set(upstreamId, own);

		return own;
	};

	return {
		beginDispatch(upstreamId, prefillTokens) {
			const own = getOwn(upstreamId);
			own.requests++;
			own.requestsSinceReport++;
			own.prefillTokens += prefillTokens;
			let isEnded = false;

			return () => {
				if (!isEnded) {
					isEnded = true;
					own.requests--;
				}
			};
		},
		endPrefill(upstreamId, prefillTokens) {
			const own = getOwn(upstreamId);
			own.prefillTokens = Math.max(0, own.prefillTokens - prefillTokens);
		},
		createView(record) {
			const details = record.details as UpstreamDetails;
			const load = details.load ?? defaultLoad;
			const own = getOwn(record.id);

			// A new report shows what was sent before it.
			if (own.reported !== details.load) {
				own.reported = details.load;
				own.requestsSinceReport = 0;
			}

			return {
				id: record.id,
				availabilityZone: record.availabilityZone,
				...load,
				ownRequests: own.requestsSinceReport,
				ownPrefillTokens: own.prefillTokens,
				prefillTokensPerSecond: details.prefillTokensPerSecond,
			};
		},
		countRunning: upstreamId => owns.get(upstreamId)?.requests ?? 0,
	};
}

type UpstreamQuery = {
	readonly membership: Membership;
	readonly state: PublicState;
};

/** Lists the upstreams that may get new work: neither leaving nor drained. */
export function listUsableUpstreams({membership, state}: UpstreamQuery, isWanted: (details: UpstreamDetails) => boolean): readonly MemberRecord[] {
	return listServing(membership, RecordKind.Upstream)
		.filter(record => isWanted(record.details as UpstreamDetails) && findItem(state, ItemKind.Drain, record.id) === undefined);
}

/** Lists the engines that serve a model in the weight version that new requests are planned for. */
export function listEngines(query: UpstreamQuery, model: string, weightVersion: string): readonly MemberRecord[] {
	return listUsableUpstreams(query, details => details.kind === UpstreamKind.Engine
		&& details.models.includes(model)
		&& details.weightVersion === weightVersion);
}

/** Tells whether an upstream is still known to live, in the incarnation it had. */
export function isSameUpstreamAlive(membership: Membership, record: MemberRecord): boolean {
	const known = membership.held.get(record.id)?.record;

	return known?.incarnation === record.incarnation && known.status !== MemberStatus.Dead;
}
