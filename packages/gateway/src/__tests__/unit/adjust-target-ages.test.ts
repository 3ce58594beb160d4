import test from 'ava';
import {adjustTargetAges} from '../../adjust-target-ages.js';

const unknown = [['guide', 2, 60_000]] as const;

test('a reply that was under way, or unread, for a while tells of older targets', t => {
	t.deepEqual(adjustTargetAges([['guide', 2, 100]], {transitMs: 4000, isCurrent: true, sinceKnownMs: 1510}), [['guide', 2, 4100]]);
});

// After a loss of all coordinators just after a naming, gateways that went on would have taken back all that had not begun.
test('a target of unknown age is no older than the time since this gateway knew all that had been accepted', t => {
	t.deepEqual(adjustTargetAges(unknown, {transitMs: 5, isCurrent: false, sinceKnownMs: 2200}), [['guide', 2, 2200]]);
	t.deepEqual(adjustTargetAges(unknown, {transitMs: 5, isCurrent: false, sinceKnownMs: undefined}), [['guide', 2, 60_005]]);
	t.deepEqual(adjustTargetAges(unknown, {transitMs: 5, isCurrent: false, sinceKnownMs: 90_000}), [['guide', 2, 60_005]]);
});

test('the age that a current coordinator tells is taken as it is', t => {
	t.deepEqual(adjustTargetAges([['guide', 2, 9000]], {transitMs: 0, isCurrent: true, sinceKnownMs: 1510}), [['guide', 2, 9000]]);
});
