import {takeRumours} from './rumours.js';
import {type GaugeNote, type Membership} from './types.js';

/** Gauges that ride on one message. */
const maxGaugesPerMessage = 64;
/** Each daemon passes a gauge on this often: nearly all hear of it, and those that do not hear of the next. */
const gaugeTellings = 3;

/** Takes gauges in; those that are news are passed on. */
export function mergeGauges(membership: Membership, notes: readonly GaugeNote[]): Membership {
	const news = notes.filter(note => isNews(membership, note));

	if (news.length === 0) {
		return membership;
	}

	const held = new Map(membership.held);
	const gaugeRumours = new Map(membership.gaugeRumours);

	for (const [id, , version, values] of news) {
		const known = held.get(id)!;
		held.set(id, {...known, record: {...known.record, gauge: {version, values}}});
		gaugeRumours.set(id, 0);
	}

	return {...membership, held, gaugeRumours};
}

function isNews({held}: Membership, [id, incarnation, version]: GaugeNote): boolean {
	const record = held.get(id)?.record;

	return record?.incarnation === incarnation && version > (record.gauge?.version ?? 0);
}

/** Sets the gauge of a record, as its next version. */
export function setGauge(membership: Membership, id: string, values: readonly number[]): Membership {
	const record = membership.held.get(id)?.record;

	return record === undefined ? membership : mergeGauges(membership, [[id, record.incarnation, (record.gauge?.version ?? 0) + 1, values]]);
}

/** Takes the gauges that the next message carries, the least told first. */
export function takeGaugeNotes(membership: Membership): {readonly membership: Membership; readonly notes: readonly GaugeNote[]} {
	if (membership.gaugeRumours.size === 0) {
		return {membership, notes: []};
	}

	const {ids, rumours} = takeRumours(membership.gaugeRumours, {perMessage: maxGaugesPerMessage, tellings: gaugeTellings});
	const notes = ids.flatMap((id): GaugeNote[] => {
		const record = membership.held.get(id)?.record;

		return record?.gauge === undefined ? [] : [[id, record.incarnation, record.gauge.version, record.gauge.values]];
	});

	return {membership: {...membership, gaugeRumours: rumours}, notes};
}
