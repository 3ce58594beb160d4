import {
	createSnapshotMetadata, createReplica, EffectKind, EntryKind, findConfirmation, getTermAt, isLeaseHeld, isReadConfirmed, MessageKind, PeerMessageKind, ReplicaRole,
	stepReplica, type Effect, type Entry, type Member, type Message,
	type PeerMessage, type ReplicaState, type ReplicaTiming,
} from '@fescuestair/agreement';
import {
	type Clock, createId, createActor, startInterval,
} from '@fescuestair/core';
import {ProposalError} from '@fescuestair/protocol';
import {type LogEntry, type LogStore, type PersistBatch} from '@fescuestair/storage';

export type ReplicaRunnerOptions = {
	readonly id: string;
	readonly clock: Clock;
	readonly store: LogStore;
	/** The replicated state machine; `apply` returns the answer for the proposer of the command. */
	readonly machine: {
		readonly apply: (command: unknown) => unknown;
		readonly encode: () => unknown;
		readonly decode: (data: unknown) => void;
	};
	readonly send: (to: string, message: PeerMessage) => void;
	/** Called with an error of the disk or of the consensus core, after which the replica acknowledges nothing more. */
	readonly onFailure: (error: unknown) => void;
	/** Number of applied entries after which the next snapshot is taken. */
	readonly snapshotIntervalEntries?: number;
	/** Number of entries before a snapshot that stay in memory, so that a member that is only a little behind needs no snapshot. */
	readonly retainedEntries?: number;
	readonly timing?: ReplicaTiming;
	readonly tickMs?: number;
	/** Calls `tick` from time to time until the returned function is called; every `tickMs` by default. */
	readonly startTicking?: (tick: () => void) => () => void;
	/** First members of the group; used until a snapshot holds the members. */
	readonly firstMembers?: readonly Member[];
};

/** A replica with its log on disk. */
export type ReplicaRunner = {
	readonly receive: (from: string, message: PeerMessage) => void;
	/** Resolves with the answer once the command is committed and applied. */
	readonly propose: (command: unknown) => Promise<unknown>;
	readonly changeMembers: (members: readonly Member[]) => Promise<void>;
	readonly transferLeadership: () => void;
	readonly getState: () => ReplicaState;
	/** Whether this replica holds the leader's lease and its applied state is the latest. */
	readonly canServeReads: () => boolean;
	/** The latest time for which this replica has applied all that had been committed by then; `undefined` where there is none since its start. */
	readonly getKnownAtMs: () => number | undefined;
	/**
	Resolves once a majority has confirmed, after the call, that this replica leads. Its applied state then includes everything that was
	committed before the call.
	*/
	readonly confirmRead: () => Promise<void>;
	readonly stop: () => Promise<void>;
};

/** A proposal appended to the log but not yet applied. */
type AppendedProposal = {readonly term: number; readonly resolve: (answer: unknown) => void; readonly reject: (error: Error) => void};

/** A proposal not yet appended to the log. */
type SubmittedProposal = Omit<AppendedProposal, 'term'>;

const defaultTickMs = 20;
const defaultRetainedEntries = 1024;
/** A read that no majority confirms within this time is rejected: three heartbeats of the slowest timing in use. */
const confirmTimeoutMs = 1000;

/**
Runs a replica: passes its messages to the pure consensus core, and syncs its log before it sends or answers anything that
depends on it.

@example
```
const runner = await createReplicaRunner({id, clock, store, machine, send, onFailure});
const answer = await runner.propose({kind: 'take_fencing_number', atMs: 0});
```
*/
export async function createReplicaRunner(options: ReplicaRunnerOptions): Promise<ReplicaRunner> {
	const {
		id, clock, store, machine, send, onFailure, snapshotIntervalEntries = 1000, retainedEntries = defaultRetainedEntries, timing, tickMs = defaultTickMs,
		firstMembers, startTicking = tick => startInterval(tick, tickMs),
	} = options;
	const loaded = await store.load();
	const snapshotData = loaded.snapshot?.data as SnapshotData | undefined;
	const entries = loaded.entries as Entry[];
	const submittedProposals = new Map<string, SubmittedProposal>();
	const appendedProposals = new Map<number, AppendedProposal>();
	let storedSnapshot = snapshotData;
	let appliedIndex = loaded.snapshot?.index ?? 0;
	let appliedTerm = loaded.snapshot?.term ?? 0;
	let queue: Message[] = [];
	const pendingReads = new Set<{readonly requestedAtMs: number; readonly resolve: () => void}>();
	let isDraining = false;
	let queueDrained = Promise.resolve();
	let isStopped = false;
	let knownAtMs: number | undefined;

	if (snapshotData !== undefined) {
		machine.decode(snapshotData.machine);
	}

	const effects: Effect[] = [];
	const firstMark = firstMembers === undefined ? undefined : {index: 0, term: 0, members: firstMembers};
	const actor = createActor<ReplicaState, Message, Effect>({
		initialState: createReplica({
			id, nowMs: clock.readMonotonicMs(), clockId: createId('clock', 0), timing, hardState: loaded.hardState, snapshot: snapshotData?.mark ?? firstMark, entries,
		}),
		clock,
		transition: stepReplica,
		perform(effect) {
			effects.push(effect);
		},
		onFailure,
	});

	const stopAfterFailure = (error: unknown) => {
		isStopped = true;
		queue = [];
		rejectProposals(new ProposalError(false, 'the replica failed'));
		onFailure(error);
	};

	const rejectProposals = (error: ProposalError) => {
		for (const one of [...appendedProposals.values(), ...submittedProposals.values()]) {
			one.reject(error);
		}

		appendedProposals.clear();
		submittedProposals.clear();
	};

	// Messages that arrive while a batch is being synced form the next batch, and share one sync.
	const drainQueue = async () => {
		isDraining = true;

		try {
			while (queue.length > 0) {
				const batch = queue;
				queue = [];

				for (const message of batch) {
					actor.send(message);
				}

				await handleEffects(effects.splice(0));
				resolveReads();
				recordKnown();
			}
		} catch (error) {
			stopAfterFailure(error);
		}

		isDraining = false;
	};

	const enqueue = (message: Message) => {
		if (isStopped) {
			return;
		}

		queue.push(message);

		if (!isDraining) {
			queueDrained = drainQueue();
		}
	};

	// Resolves the reads that a majority has confirmed. Reads that arrive between two rounds of heartbeats share the next one.
	const resolveReads = () => {
		const state = actor.getState();
		const isApplied = getTermAt(state.log, appliedIndex) === state.term;

		for (const read of pendingReads) {
			if (isApplied && isReadConfirmed(state, read.requestedAtMs)) {
				pendingReads.delete(read);
				read.resolve();
			}
		}
	};

	// A confirmation counts once its index is applied, and is replaced by the next one: it is looked at after each batch.
	const recordKnown = () => {
		const confirmation = findConfirmation(actor.getState(), clock.readMonotonicMs());

		if (confirmation !== undefined && appliedIndex >= confirmation.commitIndex) {
			knownAtMs = Math.max(knownAtMs ?? Number.NEGATIVE_INFINITY, confirmation.knownAtMs);
		}
	};

	const handleEffects = async (batch: readonly Effect[]) => {
		// A message may be sent before the sync only if the batch persists no new term or vote.
		const hasHardState = batch.some(effect => effect.kind === EffectKind.Persist && effect.hardState !== undefined);
		const canSendBeforeSync = (effect: Effect) => !hasHardState && effect.kind === EffectKind.Send && effect.canSendBeforeSync;

		for (const effect of batch.filter(one => canSendBeforeSync(one))) {
			handleEffect(effect);
		}

		await persistEffects(batch);

		for (const effect of batch.filter(one => !canSendBeforeSync(one))) {
			handleEffect(effect);
		}

		await compactIfDue();
	};

	const persistEffects = async (batch: readonly Effect[]) => {
		let pendingBatches: PersistBatch[] = [];

		for (const effect of batch) {
			if (effect.kind === EffectKind.Persist) {
				pendingBatches.push(effect);
			} else if (effect.kind === EffectKind.InstallSnapshot) {
				await persistBatches(pendingBatches);
				pendingBatches = [];
				const {term, votedFor} = actor.getState();
				storedSnapshot = effect.data as SnapshotData;
				await store.saveSnapshot({index: effect.mark.index, term: effect.mark.term, data: effect.data}, {term, votedFor}, []);
			}
		}

		await persistBatches(pendingBatches);
	};

	const persistBatches = async (batches: readonly PersistBatch[]) => {
		if (batches.length > 0) {
			await store.persist(batches);
		}
	};

	const handleEffect = (effect: Effect) => {
		switch (effect.kind) {
			case EffectKind.Send: {
				send(effect.to, effect.message);
				break;
			}

			case EffectKind.SendSnapshot: {
				sendSnapshot(effect);
				break;
			}

			case EffectKind.Apply: {
				for (const entry of effect.entries) {
					applyEntry(entry);
				}

				break;
			}

			case EffectKind.InstallSnapshot: {
				machine.decode((effect.data as SnapshotData).machine);
				appliedIndex = effect.mark.index;
				appliedTerm = effect.mark.term;
				rejectProposals(new ProposalError(false, 'another replica leads'));
				break;
			}

			case EffectKind.Accepted: {
				const proposal = submittedProposals.get(effect.proposalId);
				submittedProposals.delete(effect.proposalId);

				if (proposal !== undefined) {
					// An entry that was cut off here may still be in the log of another member, which may lead.
					appendedProposals.get(effect.index)?.reject(new ProposalError(false, 'another entry took its place'));
					appendedProposals.set(effect.index, {...proposal, term: effect.term});
				}

				break;
			}

			case EffectKind.Rejected: {
				const proposal = submittedProposals.get(effect.proposalId);
				submittedProposals.delete(effect.proposalId);
				proposal?.reject(new ProposalError(true, effect.reason));
				break;
			}

			case EffectKind.Persist: {
				break;
			}
		}
	};

	const sendSnapshot = (effect: Extract<Effect, {kind: EffectKind.SendSnapshot}>) => {
		if (storedSnapshot !== undefined) {
			send(effect.to, {
				kind: PeerMessageKind.Snapshot, term: effect.term, mark: storedSnapshot.mark, data: storedSnapshot, sentAtMs: effect.sentAtMs,
			});
		}
	};

	// No log with the committed entry holds a later entry of an earlier term.
	const rejectEarlierTerms = (term: number) => {
		for (const [index, proposal] of appendedProposals) {
			if (proposal.term < term) {
				appendedProposals.delete(index);
				proposal.reject(new ProposalError(true, 'another leader\'s entry took its place'));
			}
		}
	};

	const applyEntry = (entry: Entry) => {
		const answer = entry.payload.kind === EntryKind.Command ? machine.apply(entry.payload.command) : undefined;
		appliedIndex = entry.index;

		if (entry.term > appliedTerm) {
			appliedTerm = entry.term;
			rejectEarlierTerms(entry.term);
		}

		const proposal = appendedProposals.get(entry.index);
		appendedProposals.delete(entry.index);

		if (proposal === undefined) {
			return;
		}

		if (proposal.term === entry.term) {
			proposal.resolve(answer);
		} else {
			proposal.reject(new ProposalError(true, 'another leader\'s entry took its place'));
		}
	};

	const compactIfDue = async () => {
		const state = actor.getState();
		const entriesSinceSnapshot = appliedIndex - (storedSnapshot?.mark.index ?? 0);

		if (entriesSinceSnapshot < snapshotIntervalEntries) {
			return;
		}

		const mark = createSnapshotMetadata(state, appliedIndex);
		const data: SnapshotData = {mark, machine: machine.encode()};
		const remainingEntries = state.log.entries.filter(entry => entry.index > appliedIndex) as LogEntry[];
		await store.saveSnapshot({index: mark.index, term: mark.term, data}, {term: state.term, votedFor: state.votedFor}, remainingEntries);
		storedSnapshot = data;
		actor.send({kind: MessageKind.Compacted, index: appliedIndex - retainedEntries});
	};

	const stopTicking = startTicking(() => {
		enqueue({kind: MessageKind.Tick});
	});

	const enqueueProposal = async (createMessage: (proposalId: string) => Message) => {
		if (isStopped) {
			throw new ProposalError(true, 'the replica is stopped');
		}

		const proposalId = createId('p', 0);

		return new Promise((resolve, reject) => {
			submittedProposals.set(proposalId, {resolve, reject});
			enqueue(createMessage(proposalId));
		});
	};

	// Each leader begins its term with an entry; whoever has applied one of a term has applied all that was committed before it.
	const hasAppliedCurrentTerm = () => {
		const {log, term} = actor.getState();

		return getTermAt(log, appliedIndex) === term;
	};

	return {
		receive(from, message) {
			enqueue({kind: MessageKind.Peer, from, message});
		},
		propose: async command => enqueueProposal(proposalId => ({kind: MessageKind.Propose, proposalId, command})),
		async changeMembers(members) {
			await enqueueProposal(proposalId => ({kind: MessageKind.ChangeMembers, proposalId, members}));
		},
		transferLeadership() {
			enqueue({kind: MessageKind.TransferLeadership});
		},
		getState: actor.getState,
		canServeReads() {
			return isLeaseHeld(actor.getState(), clock.readMonotonicMs()) && hasAppliedCurrentTerm();
		},
		getKnownAtMs() {
			recordKnown();

			return knownAtMs;
		},
		async confirmRead() {
			if (isStopped || actor.getState().role !== ReplicaRole.Leader) {
				throw new ProposalError(true, 'not_leader');
			}

			await new Promise<void>((resolve, reject) => {
				const read = {requestedAtMs: clock.readMonotonicMs(), resolve};
				pendingReads.add(read);
				setTimeout(() => {
					if (pendingReads.delete(read)) {
						reject(new ProposalError(true, 'no majority confirmed the read'));
					}
				}, confirmTimeoutMs);
				enqueue({kind: MessageKind.ConfirmLeadership});
			});
		},
		async stop() {
			stopTicking();
			isStopped = true;
			rejectProposals(new ProposalError(false, 'the replica stops'));
			// Waits for a write or a snapshot in progress.
			await queueDrained;
			await store.close();
		},
	};
}

/** Content of a snapshot, as stored on disk and sent to other replicas; its field names are part of that format. */
type SnapshotData = {
	readonly mark: ReturnType<typeof createSnapshotMetadata>;
	readonly machine: unknown;
};
