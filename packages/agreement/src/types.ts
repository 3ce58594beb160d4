import {type Member} from './members.js';

export enum ReplicaRole {
	Follower = 'follower',
	PreCandidate = 'pre_candidate',
	Candidate = 'candidate',
	Leader = 'leader',
}

export enum EntryKind {
	/** Opens a term, so that entries of earlier terms can be committed. */
	Noop = 'noop',
	Members = 'members',
	Command = 'command',
}

export type EntryPayload
	= | {readonly kind: EntryKind.Noop}
		| {readonly kind: EntryKind.Members; readonly members: readonly Member[]}
		| {readonly kind: EntryKind.Command; readonly command: unknown};

export type Entry = {
	readonly index: number;
	readonly term: number;
	readonly payload: EntryPayload;
};

/** Where the snapshot ends, and who the members were there. */
export type SnapshotMark = {
	readonly index: number;
	readonly term: number;
	readonly members: readonly Member[];
};

/** The log after the snapshot. */
export type LogView = {
	readonly snapshot: SnapshotMark;
	readonly entries: readonly Entry[];
};

/** What the leader knows of one other member. */
export type Progress = {
	readonly matchIndex: number;
	readonly nextIndex: number;
	/** When the newest answered message was sent, on the leader's clock. */
	readonly ackedSentAtMs: number;
	/** No second snapshot is sent before this. */
	readonly snapshotDeadlineMs: number;
};

export type Timing = {
	readonly heartbeatMs: number;
	/** Without word from a leader for this long, a replica may ask for votes; jitter is added. */
	readonly electionMs: number;
	/** A leader may answer as leader this long after a majority has last answered it; less than `electionMs`. */
	readonly leaseMs: number;
	/** As `electionMs`, right after a start; shorter only where nothing rests on a lease that an earlier leader may still hold. */
	readonly startElectionMs?: number;
};

export type ReplicaState = {
	readonly id: string;
	readonly timing: Timing;
	readonly role: ReplicaRole;
	readonly term: number;
	readonly votedFor: string | undefined;
	readonly leaderId: string | undefined;
	readonly members: readonly Member[];
	/** Index of the log entry that set the members. */
	readonly membersIndex: number;
	readonly log: LogView;
	readonly commitIndex: number;
	readonly electionDeadlineMs: number;
	/** No vote is given before this: a leader may still hold its lease. */
	readonly voteDeadlineMs: number;
	readonly heartbeatDeadlineMs: number;
	readonly votes: ReadonlySet<string>;
	readonly progress: ReadonlyMap<string, Progress>;
	readonly leaseDeadlineMs: number;
};

export enum PeerMessageKind {
	VoteRequest = 'vote_request',
	VoteReply = 'vote_reply',
	Append = 'append',
	AppendReply = 'append_reply',
	Snapshot = 'snapshot',
	TimeoutNow = 'timeout_now',
}

export type AppendMessage = {
	readonly kind: PeerMessageKind.Append;
	readonly term: number;
	readonly previousIndex: number;
	readonly previousTerm: number;
	readonly entries: readonly Entry[];
	readonly commitIndex: number;
	/** On the leader's clock; sent back unchanged. */
	readonly sentAtMs: number;
};

export type PeerMessage
	= | {
		readonly kind: PeerMessageKind.VoteRequest;
		readonly term: number;
		readonly lastIndex: number;
		readonly lastTerm: number;
		/** A trial that changes nobody's term, so that a replica that was cut off disturbs no leader. */
		readonly isPreVote: boolean;
		/** The leader itself asked for this election. */
		readonly isTransfer: boolean;
	}
	| {readonly kind: PeerMessageKind.VoteReply; readonly term: number; readonly isPreVote: boolean; readonly isGranted: boolean}
	| AppendMessage
	| {
		readonly kind: PeerMessageKind.AppendReply;
		readonly term: number;
		readonly isAccepted: boolean;
		/** The last index known to match, or where to try next. */
		readonly index: number;
		readonly rejectedIndex: number;
		readonly sentAtMs: number;
	}
	| {readonly kind: PeerMessageKind.Snapshot; readonly term: number; readonly mark: SnapshotMark; readonly data: unknown; readonly sentAtMs: number}
	| {readonly kind: PeerMessageKind.TimeoutNow; readonly term: number};

export enum MessageKind {
	Tick = 'tick',
	Peer = 'peer',
	Propose = 'propose',
	ChangeMembers = 'change_members',
	Compacted = 'compacted',
	TransferLeadership = 'transfer_leadership',
	/** Asks everyone at once whether this replica still leads. */
	Confirm = 'confirm',
}

export type Message
	= | {readonly kind: MessageKind.Tick}
		| {readonly kind: MessageKind.Peer; readonly from: string; readonly message: PeerMessage}
		| {readonly kind: MessageKind.Propose; readonly proposalId: string; readonly command: unknown}
		| {readonly kind: MessageKind.ChangeMembers; readonly proposalId: string; readonly members: readonly Member[]}
		| {readonly kind: MessageKind.Compacted; readonly index: number}
		| {readonly kind: MessageKind.TransferLeadership}
		| {readonly kind: MessageKind.Confirm};

export enum EffectKind {
	Persist = 'persist',
	Send = 'send',
	SendSnapshot = 'send_snapshot',
	Apply = 'apply',
	InstallSnapshot = 'install_snapshot',
	Accepted = 'accepted',
	Rejected = 'rejected',
}

export type Effect
	= | {
		readonly kind: EffectKind.Persist;
		readonly hardState?: {readonly term: number; readonly votedFor: string | undefined};
		readonly truncateFrom?: number;
		readonly entries?: readonly Entry[];
	}
	| {
		readonly kind: EffectKind.Send;
		readonly to: string;
		readonly message: PeerMessage;
		/** May leave before this step is synced: it promises nothing about the sender's own disk. */
		readonly isBeforeSync: boolean;
	}
	| {readonly kind: EffectKind.SendSnapshot; readonly to: string; readonly term: number; readonly sentAtMs: number}
	| {readonly kind: EffectKind.Apply; readonly entries: readonly Entry[]}
	| {readonly kind: EffectKind.InstallSnapshot; readonly mark: SnapshotMark; readonly data: unknown}
	| {readonly kind: EffectKind.Accepted; readonly proposalId: string; readonly index: number; readonly term: number}
	| {readonly kind: EffectKind.Rejected; readonly proposalId: string; readonly reason: string; readonly leaderId: string | undefined};
