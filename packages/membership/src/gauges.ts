import {takeUpdates} from './pending-updates.js';
import {type GaugeUpdate, type Membership} from './types.js';

/** Gauges piggybacked on one message. */
const maxGaugesPerMessage = 64;
/** Transmissions of a gauge by each daemon: nearly all daemons receive it, and the others receive a later one. */
const maxGaugeTransmissions = 3;

/** Merges received gauges; those newer than the known ones are also queued for dissemination. */
export function mergeGauges(membership: Membership, updates: readonly GaugeUpdate[]): Membership {
	const newer = updates.filter(update => isNewerGauge(membership, update));

	if (newer.length === 0) {
		return membership;
	}

	const held = new Map(membership.held);
	const pendingGauges = new Map(membership.pendingGauges);

	for (const [id, , version, values] of newer) {
		const known = held.get(id)!;
		held.set(id, {...known, record: {...known.record, gauge: {version, values}}});
		pendingGauges.set(id, 0);
	}

	return {...membership, held, pendingGauges};
}

function isNewerGauge({held}: Membership, [id, incarnation, version]: GaugeUpdate): boolean {
	const record = held.get(id)?.record;

	return record?.incarnation === incarnation && version > (record.gauge?.version ?? 0);
}

/** Sets the gauge of a record under the next gauge version. */
export function setGauge(membership: Membership, id: string, values: readonly number[]): Membership {
	const record = membership.held.get(id)?.record;

	return record === undefined ? membership : mergeGauges(membership, [[id, record.incarnation, (record.gauge?.version ?? 0) + 1, values]]);
}

/** Selects the gauges for the next message, the least transmitted first. */
export function takeGaugeUpdates(membership: Membership): {readonly membership: Membership; readonly notes: readonly GaugeUpdate[]} {
	if (membership.pendingGauges.size === 0) {
		return {membership, notes: []};
	}

	const {ids, pending} = takeUpdates(membership.pendingGauges, {maxPerMessage: maxGaugesPerMessage, maxTransmissions: maxGaugeTransmissions});
	const notes = ids.flatMap((id): GaugeUpdate[] => {
		const record = membership.held.get(id)?.record;

		return record?.gauge === undefined ? [] : [[id, record.incarnation, record.gauge.version, record.gauge.values]];
	});

	return {membership: {...membership, pendingGauges: pending}, notes};
}
