import {type Clock} from '@fescuestair/core';
import {
	listServing, RecordKind, type Gauge, type MemberRecord, type Membership,
} from '@fescuestair/membership';
import {
	decodeLoad, UpstreamKind, type EngineLoad, type UpstreamDetails,
} from '@fescuestair/protocol';
import {findItem, ItemKind, type PublicState} from '@fescuestair/state';
import {Priority, type EngineView} from '@fescuestair/routing';
import {estimateBacklog, type Backlog, type Dispatch} from './estimate-backlog.js';

/**
Tracks the load of upstreams: what they last reported, and the requests that this entry has dispatched since, which the report does not include yet.
*/
export type UpstreamLoadTracker = {
	/** Records a dispatch; the returned function ends it. */
	readonly beginDispatch: (upstreamId: string, priority: Priority, prefillTokens: number) => () => void;
	/** Records the load that an engine reported with a response. */
	readonly recordLoad: (upstreamId: string, load: EngineLoad) => void;
	readonly createView: (record: MemberRecord) => EngineView;
	readonly countRunning: (upstreamId: string) => number;
};

type LoadRow = {
	readonly dispatches: Set<Dispatch>;
	/** The last announced load, as received by gossip. A new one replaces `load` unless a response has reported a newer load. */
	announced: Gauge | undefined;
	load: EngineLoad | undefined;
	reportedAtMs: number;
	/** Requests of this entry that the last report includes and that have ended since. */
	endedShort: number;
	endedLong: number;
};

/** Assumed until an engine reports its load. */
const defaultLoad: EngineLoad = {
	running: 0, waitingShort: 0, waitingLong: 0, longInProgress: 0, slots: 8, queuedShortTokens: 0, queuedLongTokens: 0,
};
/** Assumed age of an announced load when it arrives by gossip. */
const assumedReportAgeMs = 300;

/**
Creates the load tracker of an entry.

@example
```
const end = tracker.beginDispatch('engine-1', Priority.Long, 4000);
end();
```
*/
export function createUpstreamLoadTracker(clock: Clock): UpstreamLoadTracker {
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
		recordLoad(upstreamId, load) {
			recordReport(getRow(upstreamId), load, clock.readMonotonicMs());
		},
		createView(record) {
			const {prefillTokensPerSecond} = record.details as UpstreamDetails;
			const row = getRow(record.id);

			if (record.gauge !== undefined && row.announced?.version !== record.gauge.version) {
				row.announced = record.gauge;
				const announcedAtMs = clock.readMonotonicMs() - assumedReportAgeMs;

				// A response may have reported a newer load before this announcement arrived.
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

/** Creates the view of an engine that `chooseEngine` compares. */
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
	/** Whether an upstream accepts requests, according to its responses. */
	readonly isOpen?: (record: MemberRecord) => boolean;
};

/** Lists the upstreams that may get new requests: neither leaving, drained nor backing off. */
export function listUsableUpstreams({membership, state, isOpen = () => true}: UpstreamQuery, isWanted: (details: UpstreamDetails) => boolean): readonly MemberRecord[] {
	return listServing(membership, RecordKind.Upstream)
		.filter(record => isWanted(record.details as UpstreamDetails) && findItem(state, ItemKind.Drain, record.id) === undefined && isOpen(record));
}

/** Returns whether an upstream is an engine that serves a model in the given weight version. */
export function isEngineFor(model: string, version: string): (details: UpstreamDetails) => boolean {
	return ({kind, models, weightVersion}) => kind === UpstreamKind.Engine && models.includes(model) && weightVersion === version;
}
