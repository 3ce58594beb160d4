import test from 'ava';
import fc from 'fast-check';
import {
	DaemonRole, GreetingRole, InstanceStage, isHello, isHelloReply, isInstanceNotes, isLoadNote, isPublished, type Hello, type HelloReply, type InstanceNote,
} from '../../index.js';

const card = {
	name: 'a', role: DaemonRole.Gateway, incarnation: 1, linkAddress: 'a:1', serviceAddress: 'a:2', availabilityZone: 'north', isReady: true, sequence: 0,
};
const hello: Hello = {
	card, greeting: GreetingRole.PrimaryHome, publishedRevision: 1, configVersion: 1, newsAfter: {bootId: undefined, revision: 0}, wantsFleet: true,
	homes: {incarnation: 1, revision: 1, cards: [card]},
};
const note: InstanceNote = {
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
};
const loads = {shares: [['i', 1, 100]], work: [['i', 10, -5]]};
const messages = [
	[isHello, hello], [isHelloReply, reply], [isInstanceNotes, [note]], [isLoadNote, loads], [isPublished, published],
] as const;

/** Values that fit no field of any message. */
const misfits = [Number.NaN, Number.POSITIVE_INFINITY, -1e300, 1e300, Symbol.for('x'), {a: 1}, [[]], 'x'.repeat(20_000_000), -1e12, null];

/** Every place of a value, as a path. */
function * listPlaces(value: unknown, path: ReadonlyArray<string | number> = []): Generator<ReadonlyArray<string | number>> {
	if (typeof value === 'object' && value !== null) {
		for (const [key, inner] of Object.entries(value)) {
			const place = [...path, Array.isArray(value) ? Number(key) : key];
			yield place;
			yield * listPlaces(inner, place);
		}
	}
}

function damage(value: unknown, [key, ...rest]: ReadonlyArray<string | number>, misfit: unknown): unknown {
	const copy = (Array.isArray(value) ? [...value as unknown[]] : {...value as Record<string, unknown>}) as Record<string | number, unknown>;
	copy[key!] = rest.length === 0 ? misfit : damage(copy[key!], rest, misfit);

	return copy;
}

test('messages as daemons send them pass, and pass no more with any one field damaged', t => {
	for (const [check, message] of messages) {
		t.true(check(message));

		for (const place of listPlaces(message)) {
			for (const misfit of misfits) {
				t.false(check(damage(message, place, misfit)), `at ${place.join('.')}, misfit ${misfits.indexOf(misfit)}`);
			}
		}
	}
});

test('no guard throws, whatever it is given', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.anything({withNullPrototype: true, withMap: true, withBigInt: true}), value => {
			for (const [check] of messages) {
				check(value);
			}
		}), {seed: 23, numRuns: 2000});
	});
});
