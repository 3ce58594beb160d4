import {performance} from 'node:perf_hooks';
import {createConnectionLimit, type ConnectionLimit} from './connection-limit.js';
import {createMemoryBudget, pickSlowest, type Holding} from './memory-budget.js';

/** What gave way for want of room. */
export enum CallerEviction {
	/** Memory: a body that is being read, an answer that is not taken, requests that were sent ahead, an incomplete frame. */
	Bytes = 'bytes',
	Connection = 'connection',
	/** A connection with more requests sent ahead than are kept. */
	RequestsAhead = 'requests_ahead',
}

export type CallerBudgetLimits = {
	/** Upper bound for all bytes that are held for callers, in bytes. */
	readonly maxBytes: number;
	/** Connections that callers have opened, all listeners together. */
	readonly maxConnections: number;
};

/** What all callers of a process together may make it hold, whichever of its listeners they use. */
export type CallerBudget = {
	readonly setLimits: (limits: Partial<CallerBudgetLimits>) => void;
	/** Counts memory. `onEvict` is called when it has to give way; it counts no longer then. */
	readonly open: (onEvict: () => void) => Holding;
	readonly connections: Omit<ConnectionLimit, 'count'>;
	readonly recordEviction: (kind: CallerEviction) => void;
	/** Has a function called with all evictions so far: at the first one, and then once in a while as long as there are more. Returns a function that undoes it. */
	readonly registerReporter: (report: (evictions: ReadonlyMap<CallerEviction, number>) => void) => () => void;
	readonly countBytes: () => number;
	readonly countConnections: () => number;
	readonly listEvictions: () => ReadonlyMap<CallerEviction, number>;
};

export type CallerBudgetOptions = Partial<CallerBudgetLimits> & {readonly readNowMs?: () => number};

const defaultMaxBytes = 64_000_000;
const defaultMaxConnections = 8000;
const reportIntervalMs = 10_000;

/**
Creates a budget. Whoever sends or reads slowest gives way first.

@example
```
const budget = createCallerBudget({maxBytes: 40_000_000, maxConnections: 1495});
const holding = budget.open(() => response.destroy());
holding.resize(1_000_000); //=> true
```
*/
export function createCallerBudget({
	maxBytes = defaultMaxBytes, maxConnections: initialMaxConnections = defaultMaxConnections, readNowMs = () => performance.now(),
}: CallerBudgetOptions = {}): CallerBudget {
	const evictions = new Map<CallerEviction, number>();
	const reporters = new Set<(evictions: ReadonlyMap<CallerEviction, number>) => void>();
	let maxConnections = initialMaxConnections;
	let nextReportAtMs = 0;

	const recordEviction = (kind: CallerEviction) => {
		evictions.set(kind, (evictions.get(kind) ?? 0) + 1);
		const nowMs = readNowMs();

		if (nowMs < nextReportAtMs) {
			return;
		}

		nextReportAtMs = nowMs + reportIntervalMs;

		for (const report of reporters) {
			report(evictions);
		}
	};

	const memory = createMemoryBudget({maxBytes, pickVictim: pickSlowest, readNowMs});
	const connections = createConnectionLimit({
		getMaxConnections: () => maxConnections,
		onClose() {
			recordEviction(CallerEviction.Connection);
		},
	});

	return {
		setLimits(limits) {
			maxConnections = limits.maxConnections ?? maxConnections;

			if (limits.maxBytes !== undefined) {
				memory.setMaxBytes(limits.maxBytes);
			}
		},
		open: onEvict => memory.open(() => {
			recordEviction(CallerEviction.Bytes);
			onEvict();
		}),
		connections,
		recordEviction,
		registerReporter(report) {
			reporters.add(report);

			return () => {
				reporters.delete(report);
			};
		},
		countBytes: memory.countBytes,
		countConnections: connections.count,
		listEvictions: () => evictions,
	};
}

/** The budget of this process: all listeners share its memory and its descriptors. */
export const processCallerBudget = createCallerBudget();
