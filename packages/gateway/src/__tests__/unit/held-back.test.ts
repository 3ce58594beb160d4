import test from 'ava';
import {type HeldBack} from '@fescuestair/crashes';
import {type CallerStream} from '../../caller-stream.js';
import {type Exchange} from '../../exchange.js';
import {type ForwardOptions, type ForwardingProgress} from '../../forward-options.js';
import {describeHeldBack, findHeldBackOrTry} from '../../held-back.js';

const heldBack: HeldBack = {trait: 'part m deadly', crashCount: 3, trialAtMs: 7000};
const exchange = {} as unknown as Exchange;

const setUp = ({isGranted = false, sentCount = 0, hasStarted = false} = {}) => {
	const asked: Exchange[] = [];
	let current: HeldBack | undefined = heldBack;
	const options = {
		clock: {readMonotonicMs: () => 5000, readWallMs: () => 0},
		metrics: {count: () => undefined},
		crashes: {
			findHeldBack: () => current,
			async requestTrial(one: Exchange) {
				asked.push(one);

				return isGranted;
			},
		},
	} as unknown as ForwardOptions;
	const progress = {sentCount, isTrial: false, story: []} as unknown as ForwardingProgress;
	const stream = {hasStarted: () => hasStarted} as unknown as CallerStream;

	return {
		options, progress, asked,
		find: async () => findHeldBackOrTry(options, exchange, {progress, stream}),
		clear() {
			current = undefined;
		},
	};
};

test('a first sending may be a trial; a repeat and a stream that resumes are held back without asking for one', async t => {
	const first = setUp({isGranted: true});
	t.is(await first.find(), undefined);
	t.true(first.progress.isTrial);

	for (const underWay of [setUp({isGranted: true, sentCount: 1}), setUp({isGranted: true, hasStarted: true})]) {
		t.is(await underWay.find(), heldBack);
		t.is(underWay.asked.length, 0);
		t.false(underWay.progress.isTrial);
	}
});

test('a request without a trial is refused with the time of the next one, and sent once nothing holds it back', async t => {
	const {find, options, progress, clear} = setUp();
	const found = await find();
	t.is(found, heldBack);
	t.like(describeHeldBack(options, found!, {service: 's', progress}), {retryAfterMs: 2000});
	t.like(progress.story[0], {heldBackFor: 'part m deadly', crashes: 3});
	clear();
	t.is(await find(), undefined);
	t.false(progress.isTrial);
});
