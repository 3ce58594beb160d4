import test from 'ava';
import {
	isValidRequestLimit, mergeRequestLimits, noRequestLimit, recordRequestLimit,
} from '../../request-limit.js';

const statement = {perSecond: undefined, hasRun: true, sentAtMs: 0};

test('a limit holds until an answer to a later request names none', t => {
	const limited = recordRequestLimit(noRequestLimit, {...statement, perSecond: 3.3}, 1000);
	t.is(limited.perSecond, 3.3);
	t.is(recordRequestLimit(limited, {...statement, sentAtMs: 900}, 1100), limited, 'an answer to a request from before says nothing');
	t.is(recordRequestLimit(limited, {...statement, sentAtMs: 1050, hasRun: false}, 1100), limited, 'nor does a rejection');
	t.is(recordRequestLimit(limited, {...statement, sentAtMs: 1050}, 1100).perSecond, undefined);
	t.is(recordRequestLimit(limited, {...statement, perSecond: 8}, 1100).perSecond, 8);
});

test('an invalid limit leaves the known one in place', t => {
	const limited = recordRequestLimit(noRequestLimit, {...statement, perSecond: 0}, 1000);
	t.is(limited.perSecond, 0);

	for (const perSecond of [Number.NaN, -1, Number.POSITIVE_INFINITY]) {
		t.false(isValidRequestLimit(perSecond));
		t.is(recordRequestLimit(limited, {...statement, perSecond, sentAtMs: 1050}, 1100), limited);
	}
});

test('of two observations the newer one wins', t => {
	const limited = {perSecond: 3, observedAtMs: 1000};
	const ended = {perSecond: undefined, observedAtMs: 1001};
	t.is(mergeRequestLimits(limited, ended), ended);
	t.is(mergeRequestLimits(ended, limited), ended);
});
