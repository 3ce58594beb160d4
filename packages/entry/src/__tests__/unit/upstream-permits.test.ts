import test from 'ava';
import {createManualClock} from '@fescuestair/core';
import {
	createMembership, InputKind, MemberStatus, RecordKind, stepMembership, type MemberRecord,
} from '@fescuestair/membership';
import {
	ExecutionStatus, RefusalCode, RefusalError, UpstreamKind, type UpstreamDetails,
} from '@fescuestair/protocol';
import {Priority} from '@fescuestair/routing';
import {PermitOutcome, type PermitResult} from '@fescuestair/runtime';
import {createPublicState} from '@fescuestair/state';
import {
	checkLimits, correctExecution, listOpenUpstreams, reserveUpstream,
} from '../../upstream-permits.js';

const createRecord = (id: string): MemberRecord => ({
	id, kind: RecordKind.Upstream, incarnation: 1, version: 1, status: MemberStatus.Alive, address: 'a:1', availabilityZone: 'z', details: {kind: UpstreamKind.Service, service: 's'},
});

const isWanted = ({service}: UpstreamDetails) => service === 's';

// Services of an entry that knows upstreams, each with the time until when its limit closes it.
const createServices = (closedUntilMs: Readonly<Record<string, number>>, results: readonly PermitResult[] = []) => {
	const clock = createManualClock(1000);
	const remaining = [...results];
	let membership = createMembership({self: {...createRecord('entry-1'), kind: RecordKind.Entry}, nowMs: 0});

	for (const id of Object.keys(closedUntilMs)) {
		membership = stepMembership(membership, {kind: InputKind.Publish, record: createRecord(id)}, 0).state;
	}

	return {
		clock,
		gossip: {getMembership: () => membership},
		follower: {getState: createPublicState},
		permits: {
			getClosedUntilMs: ({id}: {readonly id: string}) => closedUntilMs[id]!,
			reserve: async () => remaining.shift() ?? {outcome: PermitOutcome.Refused},
			isUsable: () => true,
			isUnanswered: () => false,
			isAnswerExpected: () => false,
		},
		standings: {isAvailable: ({id}: MemberRecord, options?: {readonly withinMs: number}) => closedUntilMs[id]! <= clock.readMonotonicMs() + (options?.withinMs ?? 0)},
	} as unknown as Parameters<typeof listOpenUpstreams>[0];
};

test('upstreams that limits close are listed only if none is open, and only as far as the request can wait', t => {
	const listIds = (closedUntilMs: Readonly<Record<string, number>>, deadlineMs = 9000) => listOpenUpstreams(createServices(closedUntilMs), isWanted, deadlineMs).map(({id}) => id);
	t.deepEqual(listIds({a: 0, b: 1300}), ['a']);
	t.deepEqual(listIds({a: 1200, b: 1300, c: 1600}).toSorted(), ['a', 'b']);
	t.deepEqual(listIds({a: 1200, b: 1300}, 1250), ['a']);
});

test('a request is refused for limits only if they close every upstream that would take it', t => {
	t.notThrows(() => {
		checkLimits(createServices({}), isWanted);
	});
	t.notThrows(() => {
		checkLimits(createServices({a: 0, b: 3300}), isWanted);
	});
	const error = t.throws(() => {
		checkLimits(createServices({a: 4400, b: 3300}), isWanted);
	}, {instanceOf: RefusalError});
	t.like(error.refusal, {code: RefusalCode.UpstreamLimited, ran: ExecutionStatus.NotRun, retryAfterSeconds: 3});
});

test('a request that gets no permit from one upstream after the other is refused', async t => {
	const services = createServices({a: 3300});
	const attempts = {refusals: 0};
	const reserve = async () => reserveUpstream(services, createRecord('a'), {deadlineMs: 9000, priority: Priority.Short, attempts});

	for (let attempt = 0; attempt < 5; attempt++) {
		t.false(await reserve());
	}

	await t.throwsAsync(reserve, {instanceOf: RefusalError, message: /limits/v});
	t.true(await reserveUpstream(createServices({a: 0}, [{outcome: PermitOutcome.Unlimited}]), createRecord('a'), {deadlineMs: 9000, priority: Priority.Short, attempts}));
});

test('a refusal does not say "not run" where an earlier attempt may have run', t => {
	const refusal = new RefusalError({
		code: RefusalCode.UpstreamLimited, message: '', ran: ExecutionStatus.NotRun, retryAfterSeconds: 1,
	});
	t.is(correctExecution(refusal, undefined), refusal);
	t.is(correctExecution(refusal, ExecutionStatus.NotRun), refusal);
	t.like(correctExecution(refusal, ExecutionStatus.Unknown), {refusal: {code: RefusalCode.UpstreamLimited, ran: ExecutionStatus.Unknown}});
	const other = new Error('other');
	t.is(correctExecution(other, ExecutionStatus.Ran), other);
});
