import {BaseError} from '@fescuestair/core';
import {type RequestEvent} from './request-event.js';

/** Kinds of messages between the processes of the system. */
export enum LinkMessageKind {
	/** A message of the consensus protocol between the replicas of a group. */
	Agreement = 'agreement',
	Gossip = 'gossip',
	/** A command for the replicated log; only the leader accepts it. */
	Propose = 'propose',
	/** Polls for changes to the public part of the replicated state since a version. */
	PollState = 'poll_state',
	RecordRequestEvents = 'record_fates',
	FindRequestEvents = 'find_fates',
	/** An entry reads a run again whose caller has left, so that no other entry cancels it. */
	RunResumed = 'run_resumed',
	/** Asks the home of a prompt which upstreams hold its cached pieces. */
	FindPieces = 'find_pieces',
	/** Reports to a home which pieces an upstream holds now and which it no longer holds. */
	RecordPieces = 'note_pieces',
	/** Counts one use of a prompt at its home, which replies with the reuse of this prompt and of all prompts. */
	RecordReuse = 'note_return',
	/** A replica outside the current membership of the group asks to be added. */
	Join = 'join',
	/** The founder of a group asks a first member to promise that it belongs to this group and to no other. */
	InviteToGroup = 'invite_to_group',
	/** A daemon announces itself to a coordinator, which replies with the updates that the daemon lacks. */
	Hello = 'hello',
	/** Updates about instances, sent as soon as they are known. */
	Instances = 'instances',
	/** A gateway reports to its home the instances whose responses say that they are leaving. */
	ReportInstances = 'report_instances',
	/** A new version of the configuration or of model weights, sent as soon as it is published. */
	Published = 'published',
	ReadPublished = 'read_published',
	/** Polls for changes to the index of stored parts: a gateway polls its home, and a home polls the leader to keep its mirror up to date. */
	PollParts = 'poll_parts',
	/** Load of gateways on each instance, sent by a gateway to its home and relayed to the other homes and to each gateway. */
	Loads = 'loads',
	/** Evidence of a daemon about crashes of instances, for all coordinators. */
	CrashReport = 'crash_report',
	/** What a coordinator has gateways hold back, sent as soon as it changes. */
	Quarantine = 'quarantine',
	/** Asks the leader of the group, directly or by way of another replica, whether a request that is held back may be sent as a trial. */
	ReserveTrial = 'reserve_trial',
	/** Request limits that instances named, sent by a daemon that was told of a change and relayed to all. */
	RequestLimits = 'request_limits',
	/** Asks the leader of the group, directly or by way of another replica, for permits to send requests to instances that name a limit. */
	ReservePermits = 'reserve_permits',
	/** A gateway reports what began streams, so that any gateway can find it after the loss of the first one. */
	RecordStreamOrigins = 'record_stream_origins',
	/** Asks a coordinator what began a stream. */
	FindStreamOrigin = 'find_stream_origin',
}

/** Messages between processes. Fields of type `unknown` are defined and checked by the packages that read them. */
export type LinkMessage
	= | {readonly kind: LinkMessageKind.Agreement; readonly groupId: string; readonly fromId: string; readonly fromAddress: string; readonly toId: string; readonly message: unknown}
		| {readonly kind: LinkMessageKind.Gossip; readonly fromId: string; readonly fromAddress: string; readonly gossip: unknown}
		| {readonly kind: LinkMessageKind.Propose; readonly command: unknown}
		| {readonly kind: LinkMessageKind.PollState; readonly publicVersion: number}
		| {readonly kind: LinkMessageKind.RecordRequestEvents; readonly events: readonly RequestEvent[]}
		| {readonly kind: LinkMessageKind.FindRequestEvents; readonly requestId: string}
		| {readonly kind: LinkMessageKind.RunResumed; readonly organisation: string; readonly requestId: string}
		| {readonly kind: LinkMessageKind.FindPieces; readonly hashes: readonly string[]}
		| {
			readonly kind: LinkMessageKind.RecordPieces;
			readonly upstreamId: string;
			readonly isReset: boolean;
			/** `root` is the hash of the prompt's first piece; `hashes` may start at a later one. */
			readonly changes: ReadonlyArray<{readonly root: string; readonly hashes: readonly string[]; readonly isHeld: boolean}>;
		}
		| {readonly kind: LinkMessageKind.RecordReuse; readonly root: string}
		| {readonly kind: LinkMessageKind.Hello; readonly hello: unknown}
		| {readonly kind: LinkMessageKind.Instances; readonly notes: unknown; readonly isRelayed: boolean}
		| {readonly kind: LinkMessageKind.ReportInstances; readonly notes: unknown}
		| {readonly kind: LinkMessageKind.Published; readonly published: unknown}
		| {readonly kind: LinkMessageKind.ReadPublished}
		| {readonly kind: LinkMessageKind.Loads; readonly from: string; readonly loads: unknown; readonly isRelayed: boolean}
		| {readonly kind: LinkMessageKind.CrashReport; readonly from: string; readonly report: unknown; readonly isRelayed: boolean}
		| {readonly kind: LinkMessageKind.Quarantine; readonly from: string; readonly quarantine: unknown}
		| {readonly kind: LinkMessageKind.ReserveTrial; readonly traits: readonly string[]; readonly isRelayed: boolean}
		| {readonly kind: LinkMessageKind.RequestLimits; readonly from: string; readonly notes: unknown; readonly isRelayed: boolean}
		| {readonly kind: LinkMessageKind.ReservePermits; readonly questions: unknown; readonly isRelayed: boolean}
		| {readonly kind: LinkMessageKind.PollParts; readonly poll: unknown}
		| {readonly kind: LinkMessageKind.RecordStreamOrigins; readonly origins: unknown}
		| {readonly kind: LinkMessageKind.FindStreamOrigin; readonly streamId: string}
		| {
			readonly kind: LinkMessageKind.Join;
			readonly id: string;
			readonly name: string;
			readonly address: string;
			/** Sent by a replica that no leader has assigned to a group; see `FoundingReport`. */
			readonly founding?: {readonly groupId?: string; readonly isEmpty: boolean};
		}
		| {readonly kind: LinkMessageKind.InviteToGroup; readonly toId: string; readonly groupId: string; readonly previousGroupId?: string};

export type LinkReply
	= | {readonly kind: 'answer'; readonly answer: unknown}
		| {readonly kind: 'not_leader'; readonly leaderAddress: string | undefined}
		| {
			readonly kind: 'state';
			/** Upper bound on the age of the state; `undefined` if the replica cannot determine it. */
			readonly ageMs: number | undefined;
			readonly publicVersion: number;
			readonly changes: readonly unknown[] | undefined;
			readonly items: ReadonlyArray<readonly [string, unknown]> | undefined;
			readonly leaderAddress: string | undefined;
			readonly controlAddresses: readonly string[];
		}
		| {readonly kind: 'fates'; readonly events: readonly RequestEvent[]}
		/** Number of consecutive pieces, counted from the first, that each upstream holds. */
		| {readonly kind: 'pieces'; readonly held: ReadonlyArray<readonly [upstreamId: string, pieces: number]>}
		| {readonly kind: 'noted'}
		| {readonly kind: 'hello'; readonly reply: unknown}
		| {readonly kind: 'published'; readonly published: unknown}
		| {readonly kind: 'permits'; readonly replies: unknown}
		| {readonly kind: 'trial'; readonly trial: unknown}
		| {readonly kind: 'parts'; readonly reply: unknown; readonly ageMs: number}
		/** Empty where the coordinator does not know what began the stream. */
		| {readonly kind: 'stream_origins'; readonly origins: unknown}
		| {readonly kind: 'returns'; readonly timesSeen: number; readonly returns: {readonly seenOnce: number; readonly returned: number}}
		| {readonly kind: 'error'; readonly message: string};

/** A proposal or a read failed. If the failure is definite, it has not taken effect and never will; otherwise the outcome is unknown. */
export class ProposalError extends BaseError {
	constructor(readonly isDefiniteFailure: boolean, message: string) {
		super('proposal', message);
	}
}
