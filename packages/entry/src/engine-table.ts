import {type Clock} from '@fescuestair/core';
import {
	listServing, RecordKind, type MemberRecord, type Membership,
} from '@fescuestair/membership';
import {UpstreamKind, type EngineLoad, type UpstreamDetails} from '@fescuestair/protocol';
import {findItem, ItemKind, type PublicState} from '@fescuestair/state';
import {type EngineView, type Priority} from '@fescuestair/routing';
import {sumDispatches, type Dispatch} from './own-dispatches.js';

/** Own dispatches to upstreams, which their lagging reports do not show yet. */
export type EngineTable = {
	/** Notes a dispatch; the returned function ends it. */
	readonly beginDispatch: (upstreamId: string, priority: Priority, prefillTokens: number) => () => void;
	/** Takes a load that came with an engine's response. */
	readonly noteLoad: (upstreamId: string, load: EngineLoad) => void;
	readonly createView: (record: MemberRecord) => EngineView;
	readonly countRunning: (upstreamId: string) => number;
};

type Row = {
	readonly dispatches: Set<Dispatch>;
	/** As last announced; a new one replaces what responses told. */
	announced: EngineLoad | undefined;
	load: EngineLoad | undefined;
	reportedAtMs: number;
};

const noLoad: EngineLoad = {
	running: 0, waitingShort: 0, waitingLong: 0, longInProgress: 0, slots: 8, queuedShortTokens: 0, queuedLongTokens: 0,
};
/** Age that a report is taken to have when it arrives. */
const reportLagMs = 300;

/**
Creates the table of an entry.

@example
```
const end = table.beginDispatch('engine-1', Priority.Long, 4000);
end();
```
*/
export function createEngineTable(clock: Clock): EngineTable {
	const rows = new Map<string, Row>();
	const getRow = (upstreamId: string): Row => {
		const row = rows.get(upstreamId) ?? {
			dispatches: new Set(), announced: undefined, load: undefined, reportedAtMs: Number.NEGATIVE_INFINITY,
		};
		rows.set(upstreamId, row);

		return row;
	};

	return {
		beginDispatch(upstreamId, priority, prefillTokens) {
			const {dispatches} = getRow(upstreamId);
			const dispatch = {priority, prefillTokens, sentAtMs: clock.readMonotonicMs()};
			dispatches.add(dispatch);

			return () => {
				dispatches.delete(dispatch);
			};
		},
		noteLoad(upstreamId, load) {
			const row = getRow(upstreamId);
			row.load = load;
			row.reportedAtMs = clock.readMonotonicMs();
		},
		createView(record) {
			const {load, prefillTokensPerSecond} = record.details as UpstreamDetails;
			const row = getRow(record.id);

			if (row.announced !== load) {
				row.announced = load;
				row.load = load;
				row.reportedAtMs = clock.readMonotonicMs() - reportLagMs;
			}

			return createEngineView(record, {load: row.load ?? noLoad, prefillTokensPerSecond, own: sumDispatches(row.dispatches, row.reportedAtMs)});
		},
		countRunning: upstreamId => rows.get(upstreamId)?.dispatches.size ?? 0,
	};
}

type ViewInput = {
	readonly load: EngineLoad;
	readonly prefillTokensPerSecond: number;
	readonly own: ReturnType<typeof sumDispatches>;
};

/** Adds own dispatches to a report. */
export function createEngineView({id, availabilityZone}: Pick<MemberRecord, 'id' | 'availabilityZone'>, {load, prefillTokensPerSecond, own}: ViewInput): EngineView {
	return {
		id,
		availabilityZone,
		running: load.running,
		slots: load.slots,
		waitingShort: load.waitingShort + own.shortRequests,
		waitingLong: load.waitingLong + own.longRequests,
		longInProgress: load.longInProgress + own.longRequests,
		queuedShortTokens: load.queuedShortTokens + own.shortTokens,
		queuedLongTokens: load.queuedLongTokens + own.longTokens,
		prefillTokensPerSecond,
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
