import {type Member} from './members.js';

export enum ReplicaRole {
	Follower = 'follower',
	PreCandidate = 'pre_candidate',
	Candidate = 'candidate',
	Leader = 'leader',
}

export enum EntryKind {
	/** The first entry of a leader's term: entries of earlier terms can be committed only together with one of the current term. */
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

/** Index and term of the last entry that a snapshot covers, and the members as of that entry. */
export type SnapshotMetadata = {
	readonly index: number;
	readonly term: number;
	readonly members: readonly Member[];
};

/** The newest snapshot's metadata and the log entries after it. */
export type ReplicaLog = {
	readonly snapshot: SnapshotMetadata;
	readonly entries: readonly Entry[];
};

/** A reading of the monotonic clock of one run of a replica; those of different runs cannot be compared. */
export type ClockReading = {readonly clockId: string; readonly atMs: number};

/** What a replica knows of what was committed by a moment. */
export type Confirmation = {
	/** Time on this replica's clock. */
	readonly knownAtMs: number;
	/** All that was committed by then has this index or a lower one. */
	readonly commitIndex: number;
};

/** Replication progress of one other member, as tracked by the leader. */
export type Progress = {
	readonly matchIndex: number;
	/** Time at which the leader learned of `matchIndex`. */
	readonly matchedAtMs: number;
	readonly nextIndex: number;
	/** Send time, on the leader's clock, of the latest message that the member has acknowledged. */
	readonly ackedSentAtMs: number;
	/** The member's own clock, as its latest reply names it. */
	readonly reading: ClockReading | undefined;
	/** Earliest time at which a snapshot is sent to the member again. */
	readonly snapshotRetryAtMs: number;
};

export type ReplicaTiming = {
	readonly heartbeatIntervalMs: number;
	/** A replica that receives nothing from a leader for this long, plus jitter, starts an election. */
	readonly electionTimeoutMs: number;
	/** How long a leader may act as leader after a majority last acknowledged it; less than `electionTimeoutMs`. */
	readonly leaseMs: number;
	/**
	Replaces `electionTimeoutMs` once after each start of a replica. May be shorter only if nothing relies on a lease that the replica
	acknowledged before the start and that a leader may still hold.
	*/
	readonly startupElectionTimeoutMs?: number;
};

export type ReplicaState = {
	readonly id: string;
	/** Identifies the clock that `nowMs` is read from. */
	readonly clockId: string;
	readonly timing: ReplicaTiming;
	readonly role: ReplicaRole;
	readonly term: number;
	readonly votedFor: string | undefined;
	readonly leaderId: string | undefined;
	readonly members: readonly Member[];
	/** Index of the log entry that the members come from. */
	readonly membersIndex: number;
	readonly log: ReplicaLog;
	readonly commitIndex: number;
	readonly electionDeadlineMs: number;
	/** No vote is granted before this time, since a leader may still hold its lease. */
	readonly voteAllowedAtMs: number;
	readonly nextHeartbeatAtMs: number;
	readonly votes: ReadonlySet<string>;
	readonly progress: ReadonlyMap<string, Progress>;
	/** Members that no longer hold entries that they acknowledged to this replica. Neither their votes nor their acknowledgements count. */
	readonly lostLogIds: ReadonlySet<string>;
	readonly leaseDeadlineMs: number;
	/** The latest confirmation that a leader sent; a leader computes its own. */
	readonly receivedConfirmation: Confirmation | undefined;
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
	/** Time on the leader's clock; returned unchanged in the reply. */
	readonly sentAtMs: number;
	/**
	For how long, when this was sent, the leader had not known that nobody else led: all that was committed before is within `commitIndex`. Absent where that is not known, and from older software.
	*/
	readonly confirmedForMs?: number | undefined;
	/** The receiver's clock as of its latest reply that the leader had when it sent this. */
	readonly reading?: ClockReading | undefined;
};

export type PeerMessage
	= | {
		readonly kind: PeerMessageKind.VoteRequest;
		readonly term: number;
		readonly lastIndex: number;
		readonly lastTerm: number;
		/** A pre-vote: no replica changes its term for it, so a replica that returns from a partition does not depose the leader. */
		readonly isPreVote: boolean;
		/** The election was requested by the leader, which has given up its lease. */
		readonly isTransfer: boolean;
	}
	| {readonly kind: PeerMessageKind.VoteReply; readonly term: number; readonly isPreVote: boolean; readonly isGranted: boolean}
	| AppendMessage
	| {
		readonly kind: PeerMessageKind.AppendReply;
		readonly term: number;
		readonly isAccepted: boolean;
		/** If accepted, the last index known to match the leader's log; otherwise the previous index to try next. */
		readonly index: number;
		/** `previousIndex` of the append that this reply answers; 0 in the reply to a snapshot. */
		readonly rejectedIndex: number;
		readonly sentAtMs: number;
		/** The replying member's clock; absent from older software. */
		readonly reading?: ClockReading | undefined;
	}
	| {readonly kind: PeerMessageKind.Snapshot; readonly term: number; readonly mark: SnapshotMetadata; readonly data: unknown; readonly sentAtMs: number}
	| {readonly kind: PeerMessageKind.TimeoutNow; readonly term: number};

export enum MessageKind {
	Tick = 'tick',
	Peer = 'peer',
	Propose = 'propose',
	ChangeMembers = 'change_members',
	/** A snapshot on disk covers the entries up to `index`, so they can be dropped from memory. */
	Compacted = 'compacted',
	TransferLeadership = 'transfer_leadership',
	/** Sends heartbeats at once, so that a majority can confirm that this replica still leads. */
	ConfirmLeadership = 'confirm',
}

export type Message
	= | {readonly kind: MessageKind.Tick}
		| {readonly kind: MessageKind.Peer; readonly from: string; readonly message: PeerMessage}
		| {readonly kind: MessageKind.Propose; readonly proposalId: string; readonly command: unknown}
		| {readonly kind: MessageKind.ChangeMembers; readonly proposalId: string; readonly members: readonly Member[]}
		| {readonly kind: MessageKind.Compacted; readonly index: number}
		| {readonly kind: MessageKind.TransferLeadership}
		| {readonly kind: MessageKind.ConfirmLeadership};

export enum EffectKind {
	Persist = 'persist',
	Send = 'send',
	SendSnapshot = 'send_snapshot',
	Apply = 'apply',
	InstallSnapshot = 'install_snapshot',
	/** The proposal is in this leader's log at `index`, but not committed yet. */
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
		/** May be sent before the effects of this step are synced, since it claims nothing about the sender's own disk. */
		readonly canSendBeforeSync: boolean;
	}
	| {readonly kind: EffectKind.SendSnapshot; readonly to: string; readonly term: number; readonly sentAtMs: number}
	| {readonly kind: EffectKind.Apply; readonly entries: readonly Entry[]}
	| {readonly kind: EffectKind.InstallSnapshot; readonly mark: SnapshotMetadata; readonly data: unknown}
	| {readonly kind: EffectKind.Accepted; readonly proposalId: string; readonly index: number; readonly term: number}
	| {readonly kind: EffectKind.Rejected; readonly proposalId: string; readonly reason: string; readonly leaderId: string | undefined};
