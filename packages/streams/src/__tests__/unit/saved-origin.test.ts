import test from 'ava';
import {
	decodeSavedOrigin, encodeSavedOrigin, isSavedOrigins, type RecordedOrigin,
} from '../../index.js';

const hourMs = 3_600_000;
const recorded: RecordedOrigin = {origin: {service: 'app', softwareVersion: 'v1'}, begunAtMs: 4000, deadlineMs: 14_000};
const wallMs = 1_700_000_000_000;
const saved = encodeSavedOrigin('r', recorded, {nowMs: 5000, wallMs});

test('a record is loaded with the time that is left, whatever the monotonic clock of the next process says', t => {
	t.true(isSavedOrigins([saved]));
	t.deepEqual(decodeSavedOrigin(saved, {nowMs: 100, wallMs: wallMs + 2000}), {origin: recorded.origin, begunAtMs: -2900, deadlineMs: 7100});
	const unknown = encodeSavedOrigin('r', {...recorded, origin: {service: 'app', softwareVersion: undefined}}, {nowMs: 5000, wallMs});
	t.deepEqual(decodeSavedOrigin(unknown, {nowMs: 100, wallMs}).origin, {service: 'app', softwareVersion: undefined});
});

test('a clock that was set ahead expires a record early, and one that was set back keeps it for no longer than its caller waited in all', t => {
	t.true(decodeSavedOrigin(saved, {nowMs: 100, wallMs: wallMs + hourMs}).deadlineMs <= 100);
	t.deepEqual(decodeSavedOrigin(saved, {nowMs: 100, wallMs: wallMs - hourMs}), {origin: recorded.origin, begunAtMs: 100, deadlineMs: 10_100});
});

test('malformed records are recognised', t => {
	for (const value of [undefined, 'r', [['r', 'app', 'v1', 1]], [['r', 'app', 7, 1, 1]], [['r', 'app', 'v1', Number.NaN, 1]], [['x'.repeat(2000), 'app', 'v1', 1, 1]]]) {
		t.false(isSavedOrigins(value));
	}
});
