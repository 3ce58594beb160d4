import {type Clock} from '@fescuestair/core';
import {type OutdatedInstance, type WeightOrder} from './plan-weight-orders.js';

/** What became of an order to load weights. */
export type OrderOutcome = {
	/** The answer of the instance, or why the order could not be sent. */
	readonly outcome: string;
	readonly version: number;
	readonly atMs: number;
};

export type OutdatedInstances = {
	/** Records what became of the latest order to an instance. */
	readonly recordOutcome: (order: WeightOrder, outcome: string) => void;
	/** Replaces the instances whose weights are older than the target, with what keeps each of them from an order. */
	readonly replace: (outdated: readonly OutdatedInstance[]) => void;
	/** Forgets all, as when this replica leads no longer. */
	readonly clear: () => void;
	/** Counts the instances that have been outdated for longer than a rollout should take. */
	readonly countOverdue: () => number;
};

type Tracked = {readonly sinceMs: number; reportedAtMs: number};

/** Longer than a rollout takes where nothing fails. */
const overdueAfterMs = 5000;
const reportIntervalMs = 5000;

/**
Creates the record of the instances that stay on older weights. Each of them is logged from time to time with its last order and with the reason why it gets no other.

@example
```
const outdatedInstances = createOutdatedInstances({clock, log});
outdatedInstances.replace(listOutdatedInstances(plan));
```
*/
export function createOutdatedInstances({clock, log}: {
	readonly clock: Clock;
	readonly log: {readonly warn: (message: string, fields: Readonly<Record<string, unknown>>) => void};
}): OutdatedInstances {
	const outcomes = new Map<string, OrderOutcome>();
	/** By instance, model and target version. */
	let tracked = new Map<string, Tracked>();

	return {
		recordOutcome({instanceId, version}, outcome) {
			outcomes.set(instanceId, {outcome, version, atMs: clock.readMonotonicMs()});
		},
		replace(outdated) {
			const nowMs = clock.readMonotonicMs();
			const next = new Map<string, Tracked>();

			for (const {instanceId, address, model, version, currentVersion, obstacle} of outdated) {
				const key = `${instanceId} ${model} ${version}`;
				const entry = tracked.get(key) ?? {sinceMs: nowMs, reportedAtMs: Number.NEGATIVE_INFINITY};
				next.set(key, entry);

				if (nowMs - entry.sinceMs >= overdueAfterMs && nowMs - entry.reportedAtMs >= reportIntervalMs) {
					entry.reportedAtMs = nowMs;
					const last = outcomes.get(instanceId);
					log.warn('instance stays on older weights', {
						id: instanceId, address, model, version: currentVersion, targetVersion: version, forMs: Math.round(nowMs - entry.sinceMs), obstacle: obstacle ?? 'none',
						lastOrder: last === undefined ? 'none' : {outcome: last.outcome, version: last.version, agoMs: Math.round(nowMs - last.atMs)},
					});
				}
			}

			tracked = next;
			const ids = new Set(outdated.map(({instanceId}) => instanceId));

			for (const id of outcomes.keys()) {
				if (!ids.has(id)) {
					outcomes.delete(id);
				}
			}
		},
		clear() {
			tracked = new Map();
			outcomes.clear();
		},
		countOverdue() {
			const nowMs = clock.readMonotonicMs();

			return [...tracked.values()].filter(({sinceMs}) => nowMs - sinceMs >= overdueAfterMs).length;
		},
	};
}
