import {
	isAnyOf, isNonNegativeInteger, isFiniteNumber, isArrayOf, isOneOf, isOptional, isObjectWith, isStringUpTo, isTupleOf, type TypeGuard,
} from '@fescuestair/core';
import {
	GossipKind, MemberStatus, RecordKind, type Gossip,
} from './types.js';

const maxNameLength = 500;
/** Far more records than a gossip message carries. */
const maxRecords = 20_000;
/** Limit of the fields in the details of a record, and of the values in a gauge. */
const maxFields = 100;

const isName = isStringUpTo(maxNameLength);
const isGaugeValues = isArrayOf(isFiniteNumber, maxFields);
const isDetails: TypeGuard<Readonly<Record<string, unknown>>> = (value): value is Readonly<Record<string, unknown>> => isObjectWith({})(value)
	&& Object.keys(value).length <= maxFields;

const isMemberRecord = isObjectWith({
	id: isName, kind: isOneOf(Object.values(RecordKind)), incarnation: isNonNegativeInteger, version: isNonNegativeInteger, status: isOneOf(Object.values(MemberStatus)),
	address: isName, availabilityZone: isName, sponsorId: isOptional(isName), details: isDetails,
	gauge: isOptional(isObjectWith({version: isNonNegativeInteger, values: isGaugeValues})),
});

const updateFields = {
	records: isArrayOf(isMemberRecord, maxRecords),
	gauges: isOptional(isArrayOf(isTupleOf(isName, isNonNegativeInteger, isNonNegativeInteger, isGaugeValues), maxRecords)),
};

/** Checks a gossip message received from another daemon; the contents of a record's details are checked where they are read. */
export const isGossip = isAnyOf(
	isObjectWith({
		...updateFields, kind: isOneOf([GossipKind.Ping, GossipKind.Ack]), sequence: isNonNegativeInteger, onBehalfOf: isOptional(isName),
	}),
	isObjectWith({
		...updateFields, kind: isOneOf([GossipKind.PingRequest]), sequence: isNonNegativeInteger, targetId: isName,
	}),
	isObjectWith({...updateFields, kind: isOneOf([GossipKind.Sync]), digests: isArrayOf(isName, maxRecords)}),
	isObjectWith({...updateFields, kind: isOneOf([GossipKind.SyncReply]), parts: isArrayOf(isNonNegativeInteger, maxRecords)}),
) as TypeGuard<unknown> as TypeGuard<Gossip>;
