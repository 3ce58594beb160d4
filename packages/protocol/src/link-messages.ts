import {BaseError} from '@fescuestair/core';
import {type FateEvent} from './fate.js';

/** Kinds of messages between the system's own processes. */
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
	/** A daemon tells a coordinator of itself, and is told what it lacks. */
	Hello = 'hello',
	/** News of instances, told at once. */
	Instances = 'instances',
	/** A gateway tells its home of instances that say in their answers that they leave. */
	ReportInstances = 'report_instances',
	/** A new version of the configuration or of the weights, told at once. */
	Published = 'published',
	ReadPublished = 'read_published',
	/** A gateway asks the keeper of stored parts for news. */
	PollParts = 'poll_parts',
	/** What gateways have at each instance: from a gateway to its home, from there to the other homes, and to each gateway. */
	Loads = 'loads',
	/** Requests that were running when an instance crashed, by the same way. */
	Suspects = 'suspects',
}

/** Messages; the parts typed as unknown belong to the packages that read them. */
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
			/** How old the knowledge may be at most; absent where the replica cannot tell. */
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

/** A proposal's fate: whether it may still be carried out. */
export class ProposalError extends BaseError {
	constructor(readonly isCertainlyLost: boolean, message: string) {
		super('proposal', message);
	}
}
