import {type Clock} from '@fescuestair/core';
import {
	listServing, RecordKind, type Gauge, type MemberRecord, type Membership,
} from '@fescuestair/membership';
import {
	decodeLoad, UpstreamKind, type EngineLoad, type UpstreamDetails,
} from '@fescuestair/protocol';
import {findItem, ItemKind, type PublicState} from '@fescuestair/state';
import {Priority, type EngineView} from '@fescuestair/routing';
import {estimateBacklog, type Backlog, type Dispatch} from './own-dispatches.js';

/** Own dispatches to upstreams, which their lagging reports do not show yet. */
export type EngineTable = {
	/** Notes a dispatch; the returned function ends it. */
	readonly beginDispatch: (upstreamId: string, priority: Priority, prefillTokens: number) => () => void;
	/** Takes a load that came with an engine's response. */
	readonly noteLoad: (upstreamId: string, load: EngineLoad) => void;
	readonly createView: (record: MemberRecord) => EngineView;
	readonly countRunning: (upstreamId: string) => number;
};

type LoadRow = {
	readonly dispatches: Set<Dispatch>;
	/** As last announced; a new one replaces what responses told. */
	announced: Gauge | undefined;
	load: EngineLoad | undefined;
	reportedAtMs: number;
	/** Own requests that stand in the report and have ended since. */
	endedShort: number;
	endedLong: number;
};

const defaultLoad: EngineLoad = {
	running: 0, waitingShort: 0, waitingLong: 0, longInProgress: 0, slots: 8, queuedShortTokens: 0, queuedLongTokens: 0,
};
/** Age that a report is taken to have when it arrives. */
const assumedReportAgeMs = 300;

/**
Creates the table of an entry.

@example
```
const end = table.beginDispatch('engine-1', Priority.Long, 4000);
end();
```
*/
export function createEngineTable(clock: Clock): EngineTable {
	const rows = new Map<string, LoadRow>();
	const getRow = (upstreamId: string): LoadRow => {
		const row = rows.get(upstreamId) ?? {
			dispatches: new Set(), announced: undefined, load: undefined, reportedAtMs: Number.NEGATIVE_INFINITY, endedShort: 0, endedLong: 0,
		};
		rows.set(upstreamId, row);

		return row;
	};

	return {
		beginDispatch(upstreamId, priority, prefillTokens) {
			const row = getRow(upstreamId);
			const dispatch = {priority, prefillTokens, sentAtMs: clock.readMonotonicMs()};
			row.dispatches.add(dispatch);

			return () => {
				row.dispatches.delete(dispatch);

				if (dispatch.sentAtMs <= row.reportedAtMs) {
					row.endedShort += priority === Priority.Short ? 1 : 0;
					row.endedLong += priority === Priority.Long ? 1 : 0;
				}
			};
		},
		noteLoad(upstreamId, load) {
			recordReport(getRow(upstreamId), load, clock.readMonotonicMs());
		},
		createView(record) {
			const {prefillTokensPerSecond} = record.details as UpstreamDetails;
			const row = getRow(record.id);

			if (record.gauge !== undefined && row.announced?.version !== record.gauge.version) {
				row.announced = record.gauge;
				const announcedAtMs = clock.readMonotonicMs() - assumedReportAgeMs;

				// A response may have told of a later load than the announcement that arrives after it.
				if (announcedAtMs > row.reportedAtMs) {
					recordReport(row, decodeLoad(record.gauge.values), announcedAtMs);
				}
			}

			const reportedLoad = dropEndedRequests(row.load ?? defaultLoad, row);
			const backlog = estimateBacklog({
				...reportedLoad, reportedAtMs: Math.max(0, row.reportedAtMs), dispatches: row.dispatches, prefillTokensPerSecond, nowMs: clock.readMonotonicMs(),
			});

			return createEngineView(record, {load: reportedLoad, prefillTokensPerSecond, backlog});
		},
		countRunning: upstreamId => rows.get(upstreamId)?.dispatches.size ?? 0,
	};
}

function recordReport(row: LoadRow, load: EngineLoad | undefined, atMs: number): void {
	row.load = load;
	row.reportedAtMs = atMs;
	row.endedShort = 0;
	row.endedLong = 0;
}

function dropEndedRequests(load: EngineLoad, {endedShort, endedLong}: LoadRow): EngineLoad {
	return {
		...load, running: Math.max(0, load.running - endedShort - endedLong), longInProgress: Math.max(0, load.longInProgress - endedLong),
	};
}

type EngineViewInput = {
	readonly load: EngineLoad;
	readonly prefillTokensPerSecond: number;
	readonly backlog: Backlog;
};

/** Describes an engine as a plan sees it. */
export function createEngineView({id, availabilityZone}: Pick<MemberRecord, 'id' | 'availabilityZone'>, {load, prefillTokensPerSecond, backlog}: EngineViewInput): EngineView {
	return {
		id,
		availabilityZone,
		running: load.running,
		slots: load.slots,
		waitingShort: load.waitingShort + backlog.shortRequests,
		waitingLong: load.waitingLong + backlog.longRequests,
		longInProgress: load.longInProgress + backlog.longRequests,
		queuedShortTokens: backlog.shortTokens,
		queuedLongTokens: backlog.longTokens,
		prefillTokensPerSecond,
	};
}

type UpstreamQuery = {
	readonly membership: Membership;
	readonly state: PublicState;
	/** Whether an upstream takes requests, as its answers say. */
	readonly isOpen?: (record: MemberRecord) => boolean;
};

/** Lists the upstreams that may get new work: neither leaving, drained nor resting. */
export function listUsableUpstreams({membership, state, isOpen = () => true}: UpstreamQuery, isWanted: (details: UpstreamDetails) => boolean): readonly MemberRecord[] {
	return listServing(membership, RecordKind.Upstream)
		.filter(record => isWanted(record.details as UpstreamDetails) && findItem(state, ItemKind.Drain, record.id) === undefined && isOpen(record));
}

/** Lists the engines that serve a model in the weight version that new requests are planned for. */
export function listEngines(query: UpstreamQuery, model: string, weightVersion: string): readonly MemberRecord[] {
	return listUsableUpstreams(query, details => details.kind === UpstreamKind.Engine
		&& details.models.includes(model)
		&& details.weightVersion === weightVersion);
}
