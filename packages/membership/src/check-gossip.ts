import {
	isAnyOf, isCount, isFiniteNumber, isListOf, isOneOf, isOptional, isRecordOf, isTextUpTo, isTupleOf, type Guard,
} from '@fescuestair/core';
import {
	GossipKind, MemberStatus, RecordKind, type Gossip,
} from './types.js';

const maxNameLength = 500;
/** Far more than one message of gossip carries. */
const maxRecords = 20_000;
/** Fields of the details of one record, and numbers of one gauge. */
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

const rumours = {
	records: isListOf(isMemberRecord, maxRecords),
	gauges: isOptional(isListOf(isTupleOf(isName, isCount, isCount, isGaugeValues), maxRecords)),
};

/** Gossip as another daemon may send it; the details of a record are checked by who reads them. */
export const isGossip = isAnyOf(
	isRecordOf({
		...rumours, kind: isOneOf([GossipKind.Ping, GossipKind.Ack]), sequence: isCount, onBehalfOf: isOptional(isName),
	}),
	isRecordOf({
		...rumours, kind: isOneOf([GossipKind.PingRequest]), sequence: isCount, targetId: isName,
	}),
	isRecordOf({...rumours, kind: isOneOf([GossipKind.Sync]), digests: isListOf(isName, maxRecords)}),
	isRecordOf({...rumours, kind: isOneOf([GossipKind.SyncReply]), parts: isListOf(isCount, maxRecords)}),
) as Guard<unknown> as Guard<Gossip>;
