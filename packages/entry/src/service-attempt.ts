import {type MemberRecord} from '@fescuestair/membership';
import {AttemptOutcome, RequestEventKind, UpstreamKind} from '@fescuestair/protocol';
import {Priority} from '@fescuestair/routing';
import {type ServiceItem} from '@fescuestair/state';
import {type AttemptError} from './attempt-error.js';
import {callService, type ServiceResponse, type ServiceCall} from './service-call.js';
import {chooseServiceInstance} from './rank-members.js';
import {listUsableUpstreams} from './upstream-load-tracker.js';
import {type EntryServices} from './request-context.js';

/** A call, the service that it goes to and its deadline. */
export type ServiceTarget = {
	readonly service: ServiceItem;
	readonly call: ServiceCall;
	/** Monotonic. */
	readonly deadlineMs: number;
};

/** A complete response, and whether it is the recorded response of an earlier call. */
export type ServiceResult = ServiceResponse & {readonly isReplay: boolean};

/** Chooses the instance of a service for the next attempt; `undefined` if none is available. */
export function chooseInstance(services: EntryServices, serviceName: string, excludedIds: ReadonlySet<string>): MemberRecord | undefined {
	const query = {membership: services.gossip.getMembership(), state: services.follower.getState(), isOpen: services.standings.isAvailable};
	const records = listUsableUpstreams(query, details => details.kind === UpstreamKind.Service && details.service === serviceName);

	return chooseServiceInstance(records, {
		availabilityZone: services.availabilityZone, countRunning: services.loadTracker.countRunning, excludedIds,
	});
}

type AttemptInput = {
	readonly record: MemberRecord;
	readonly attempt: number;
	readonly call: ServiceCall;
	readonly timeoutMs: number;
	/** Whether the call must not be repeated; it is then sent on a new connection. */
	readonly isAtMostOnce: boolean;
};

/** Makes one attempt at an instance, and records when it was dispatched and how it ended. */
export async function attemptCall(services: EntryServices, requestId: string, input: AttemptInput): Promise<ServiceResponse> {
	const {record, attempt, call, timeoutMs, isAtMostOnce} = input;
	const {clock, recordRequestEvent, loadTracker} = services;
	recordRequestEvent({
		kind: RequestEventKind.Dispatched, requestId, atMs: clock.readWallMs(), attempt, upstreamId: record.id,
	});
	const endDispatch = loadTracker.beginDispatch(record.id, Priority.Short, 0);
	let end = AttemptOutcome.Complete;
	let detail = '';

	try {
		return await callService({
			agent: isAtMostOnce ? services.unpooledAgent : services.agent,
			address: record.address,
			timeoutMs,
			onResponseHead(status, headers) {
				services.standings.recordResponse(record, status, headers);
			},
		}, call);
	} catch (error) {
		end = (error as AttemptError).end;
		detail = (error as AttemptError).message;

		throw error;
	} finally {
		endDispatch();
		recordRequestEvent({
			kind: RequestEventKind.AttemptEnded, requestId, atMs: clock.readWallMs(), attempt, end, detail, offset: 0,
		});
	}
}

