import {BaseError} from '@fescuestair/core';
import {type FateEvent} from './request-event.js';

/** Kinds of messages between the processes of the system. */
export enum LinkKind {
	Agreement = 'agreement',
	Gossip = 'gossip',
	Propose = 'propose',
	PollState = 'poll_state',
	RecordFates = 'record_fates',
	FindFates = 'find_fates',
	FindPieces = 'find_pieces',
	NotePieces = 'note_pieces',
	NoteReturn = 'note_return',
	Join = 'join',
	/** A daemon announces itself to a coordinator, which replies with the updates that the daemon lacks. */
	Hello = 'hello',
	/** Updates about instances, sent as soon as they are known. */
	Instances = 'instances',
	/** A gateway reports to its home the instances whose responses say that they are leaving. */
	ReportInstances = 'report_instances',
	/** A new version of the configuration or of model weights, sent as soon as it is published. */
	Published = 'published',
	ReadPublished = 'read_published',
	/** Polls for changes to the index of stored parts: a gateway asks its home, and a home asks the leader to keep its copy up to date. */
	PollParts = 'poll_parts',
	/** Load of gateways on each instance, sent by a gateway to its home and relayed to the other homes and to each gateway. */
	Loads = 'loads',
	/** Requests that were running when an instance crashed; relayed in the same way as loads. */
	Suspects = 'suspects',
}

/** Messages between processes. Fields of type `unknown` are defined and checked by the packages that read them. */
export type LinkMessage
	= | {readonly kind: LinkKind.Agreement; readonly groupId: string; readonly fromId: string; readonly fromAddress: string; readonly toId: string; readonly message: unknown}
		| {readonly kind: LinkKind.Gossip; readonly fromId: string; readonly fromAddress: string; readonly gossip: unknown}
		| {readonly kind: LinkKind.Propose; readonly command: unknown}
		| {readonly kind: LinkKind.PollState; readonly publicVersion: number}
		| {readonly kind: LinkKind.RecordFates; readonly events: readonly FateEvent[]}
		| {readonly kind: LinkKind.FindFates; readonly requestId: string}
		| {readonly kind: LinkKind.FindPieces; readonly hashes: readonly string[]}
		| {
			readonly kind: LinkKind.NotePieces;
			readonly upstreamId: string;
			readonly isReset: boolean;
			readonly changes: ReadonlyArray<{readonly root: string; readonly hashes: readonly string[]; readonly isHeld: boolean}>;
		}
		| {readonly kind: LinkKind.NoteReturn; readonly root: string}
		| {readonly kind: LinkKind.Hello; readonly hello: unknown}
		| {readonly kind: LinkKind.Instances; readonly notes: unknown; readonly isRelayed: boolean}
		| {readonly kind: LinkKind.ReportInstances; readonly notes: unknown}
		| {readonly kind: LinkKind.Published; readonly published: unknown}
		| {readonly kind: LinkKind.ReadPublished}
		| {readonly kind: LinkKind.Loads; readonly from: string; readonly loads: unknown; readonly isRelayed: boolean}
		| {readonly kind: LinkKind.Suspects; readonly from: string; readonly notes: unknown; readonly isRelayed: boolean}
		| {readonly kind: LinkKind.PollParts; readonly poll: unknown}
		| {readonly kind: LinkKind.Join; readonly id: string; readonly name: string; readonly address: string};

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
		| {readonly kind: 'fates'; readonly events: readonly FateEvent[]}
		| {readonly kind: 'pieces'; readonly held: ReadonlyArray<readonly [upstreamId: string, pieces: number]>}
		| {readonly kind: 'noted'}
		| {readonly kind: 'hello'; readonly reply: unknown}
		| {readonly kind: 'published'; readonly published: unknown}
		| {readonly kind: 'parts'; readonly reply: unknown; readonly ageMs: number}
		| {readonly kind: 'returns'; readonly timesSeen: number; readonly returns: {readonly seenOnce: number; readonly returned: number}}
		| {readonly kind: 'error'; readonly message: string};

/** A proposal or a read failed. If the failure is definite, it has not taken effect and never will; otherwise the outcome is unknown. */
export class ProposalError extends BaseError {
	constructor(readonly isCertainlyLost: boolean, message: string) {
		super('proposal', message);
	}
}
