import {
	isAnyOf, isCount, isFiniteNumber, isListOf, isOneOf, isOptional, isRecordOf, isTextUpTo, isTupleOf, type Guard,
} from '@fescuestair/core';
import {
	GossipKind, MemberStatus, RecordKind, type Gossip,
} from './types.js';

const maxNameLength = 500;
/** Far more records than a gossip message carries. */
const maxRecords = 20_000;
/** Limit of the fields in the details of a record, and of the values in a gauge. */
const maxFields = 100;

const isName = isTextUpTo(maxNameLength);
const isGaugeValues = isListOf(isFiniteNumber, maxFields);
const isDetails: Guard<Readonly<Record<string, unknown>>> = (value): value is Readonly<Record<string, unknown>> => isRecordOf({})(value)
	&& Object.keys(value).length <= maxFields;

const isMemberRecord = isRecordOf({
	id: isName, kind: isOneOf(Object.values(RecordKind)), incarnation: isCount, version: isCount, status: isOneOf(Object.values(MemberStatus)),
	address: isName, availabilityZone: isName, sponsorId: isOptional(isName), details: isDetails,
	gauge: isOptional(isRecordOf({version: isCount, values: isGaugeValues})),
});

const updateFields = {
	records: isListOf(isMemberRecord, maxRecords),
	gauges: isOptional(isListOf(isTupleOf(isName, isCount, isCount, isGaugeValues), maxRecords)),
};

/** Checks a gossip message received from another daemon; the contents of a record's details are checked where they are read. */
export const isGossip = isAnyOf(
	isRecordOf({
		...updateFields, kind: isOneOf([GossipKind.Ping, GossipKind.Ack]), sequence: isCount, onBehalfOf: isOptional(isName),
	}),
	isRecordOf({
		...updateFields, kind: isOneOf([GossipKind.PingRequest]), sequence: isCount, targetId: isName,
	}),
	isRecordOf({...updateFields, kind: isOneOf([GossipKind.Sync]), digests: isListOf(isName, maxRecords)}),
	isRecordOf({...updateFields, kind: isOneOf([GossipKind.SyncReply]), parts: isListOf(isCount, maxRecords)}),
) as Guard<unknown> as Guard<Gossip>;
