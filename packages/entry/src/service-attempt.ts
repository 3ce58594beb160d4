import {type MemberRecord} from '@fescuestair/membership';
import {
	AttemptOutcome, RequestEventKind, UpstreamKind, type UpstreamDetails,
} from '@fescuestair/protocol';
import {Priority} from '@fescuestair/routing';
import {type ServiceItem} from '@fescuestair/state';
import {type AttemptError} from './attempt-error.js';
import {callService, type ServiceResponse, type ServiceCall} from './service-call.js';
import {chooseServiceInstance} from './rank-members.js';
import {type EntryServices} from './request-context.js';
import {listOpenUpstreams} from './upstream-permits.js';

/** A call, the service that it goes to and its deadline. */
export type ServiceTarget = {
	readonly service: ServiceItem;
	readonly call: ServiceCall;
	/** Monotonic. */
	readonly deadlineMs: number;
};

/** A complete response, and whether it is the recorded response of an earlier call. */
export type ServiceResult = ServiceResponse & {readonly isReplay: boolean};

/** Returns whether an upstream is an instance of a service. */
export function isInstanceOf(serviceName: string): (details: UpstreamDetails) => boolean {
	return ({kind, service}) => kind === UpstreamKind.Service && service === serviceName;
}

export type InstanceQuery = {
	readonly serviceName: string;
	readonly excludedIds: ReadonlySet<string>;
	/** Monotonic. */
	readonly deadlineMs: number;
};

/** Chooses the instance of a service for the next attempt; `undefined` if none is available. */
export function chooseInstance(services: EntryServices, {serviceName, excludedIds, deadlineMs}: InstanceQuery): MemberRecord | undefined {
	const records = listOpenUpstreams(services, isInstanceOf(serviceName), deadlineMs);

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
	/** Ends the attempt; its reason is an `AttemptError`. */
	readonly signal?: AbortSignal;
	/** Called with each part of the response that arrives. */
	readonly onHeard?: () => void;
};

/** Makes one attempt at an instance, and records when it was dispatched and how it ended. */
export async function attemptCall(services: EntryServices, requestId: string, input: AttemptInput): Promise<ServiceResponse> {
	const {record, attempt, call, timeoutMs, isAtMostOnce, signal, onHeard} = input;
	const {clock, recordRequestEvent, loadTracker} = services;
	recordRequestEvent({
		kind: RequestEventKind.Dispatched, requestId, atMs: clock.readWallMs(), attempt, upstreamId: record.id,
	});
	const sentAtMs = clock.readMonotonicMs();
	const endDispatch = loadTracker.beginDispatch(record.id, Priority.Short, 0);
	let end = AttemptOutcome.Complete;
	let detail = '';

	try {
		return await callService({
			// A call is never sent on a connection that may no longer respond, if it may be sent once only.
			agent: isAtMostOnce ? undefined : services.serviceAgent,
			address: record.address,
			timeoutMs,
			signal,
			onHeard,
			onResponseHead(status, headers) {
				services.standings.recordResponse(record, {status, headers, sentAtMs});
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

