import test from 'ava';
import fc from 'fast-check';
import {
	DaemonRole, HelloKind, InstanceStage, isHello, isHelloReply, isInstanceUpdates, isLoadUpdate, isPublishedSnapshot, type Hello, type HelloReply, type InstanceUpdate,
} from '../../index.js';

const card = {
	name: 'a', role: DaemonRole.Gateway, incarnation: 1, linkAddress: 'a:1', serviceAddress: 'a:2', availabilityZone: 'north', isReady: true, sequence: 0,
};
const hello: Hello = {
	card, greeting: HelloKind.PrimaryHome, publishedRevision: 1, configVersion: 1, newsAfter: {bootId: undefined, revision: 0}, wantsFleet: true,
	homes: {incarnation: 1, revision: 1, cards: [card, {...card, leaving: {sinceWallMs: 1, isAccepting: true}}]},
};
const note: InstanceUpdate = {
	ageMs: 10, loadingLeftMs: 0, record: {
		id: 'i', service: 's', address: 'i:1', availabilityZone: 'north', slots: 1, stage: InstanceStage.Ready, coldLeftMs: 0, models: [{name: 'm', version: 1}],
		incarnation: 1, sequence: 1,
	},
};
const published = {
	revision: 1, configVersion: 1, configText: undefined, weights: [['m', 1, 10]],
};
const reply: HelloReply = {
	news: {cursor: {bootId: 'b', revision: 1}, notes: [note]}, fleet: {renewals: [['i', 1, 1, 10]], coordinators: [card], gateways: 1}, published: undefined,
	leaderAddress: undefined, isCurrent: true, heldHomes: {incarnation: 1, revision: 1},
	peers: {
		known: 2, ready: 1, acceptingAfter: 0, ending: 0,
	},
};
const loads = {shares: [['i', 1, 100]], work: [['i', 10, -5]]};
const messages = [
	[isHello, hello], [isHelloReply, reply], [isInstanceUpdates, [note]], [isLoadUpdate, loads], [isPublishedSnapshot, published],
] as const;

/** Values that are invalid in every field of every message. */
const invalidValues = [Number.NaN, Number.POSITIVE_INFINITY, -1e300, 1e300, Symbol.for('x'), {a: 1}, [[]], 'x'.repeat(20_000_000), -1e12, null];

/** Lists the path of every field and element of a value, nested ones included. */
function * listPaths(value: unknown, path: ReadonlyArray<string | number> = []): Generator<ReadonlyArray<string | number>> {
	if (typeof value === 'object' && value !== null) {
		for (const [key, inner] of Object.entries(value)) {
			const innerPath = [...path, Array.isArray(value) ? Number(key) : key];
			yield innerPath;
			yield * listPaths(inner, innerPath);
		}
	}
}

function replaceAt(value: unknown, [key, ...rest]: ReadonlyArray<string | number>, replacement: unknown): unknown {
	const copy = (Array.isArray(value) ? [...value as unknown[]] : {...value as Record<string, unknown>}) as Record<string | number, unknown>;
	copy[key!] = rest.length === 0 ? replacement : replaceAt(copy[key!], rest, replacement);

	return copy;
}

test('valid messages are accepted, and rejected with any one field replaced by an invalid value', t => {
	for (const [guard, message] of messages) {
		t.true(guard(message));

		for (const path of listPaths(message)) {
			for (const invalidValue of invalidValues) {
				t.false(guard(replaceAt(message, path, invalidValue)), `at ${path.join('.')}, invalid value ${invalidValues.indexOf(invalidValue)}`);
			}
		}
	}
});

test('no guard throws on any input', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.anything({withNullPrototype: true, withMap: true, withBigInt: true}), value => {
			for (const [guard] of messages) {
				guard(value);
			}
		}), {seed: 23, numRuns: 2000});
	});
});
