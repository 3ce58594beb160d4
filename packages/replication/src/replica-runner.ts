import {
	createMark, createReplica, EffectKind, EntryKind, getTermAt, isLeaseHeld, isReadConfirmed, MessageKind, PeerMessageKind, ReplicaRole,
	stepReplica, type Effect, type Entry, type Member, type Message,
	type PeerMessage, type ReplicaState, type Timing,
} from '@fescuestair/agreement';
import {type Clock, createId, createTask} from '@fescuestair/core';
import {ProposalError} from '@fescuestair/protocol';
import {type LogEntry, type LogStore, type PersistBatch} from '@fescuestair/storage';

export type ReplicaRunnerOptions = {
	readonly id: string;
	readonly clock: Clock;
	readonly store: LogStore;
	/** The state machine; `apply` returns the answer for whoever proposed the command. */
	readonly machine: {
		readonly apply: (command: unknown) => unknown;
		readonly encode: () => unknown;
		readonly decode: (data: unknown) => void;
	};
	readonly send: (to: string, message: PeerMessage) => void;
	/** The disk failed: the replica can promise nothing more. */
	readonly onFailure: (error: unknown) => void;
	/** Entries between snapshots. */
	readonly snapshotEvery?: number;
	/** Entries kept in memory behind a snapshot, for members that lag a little. */
	readonly keptEntries?: number;
	readonly timing?: Timing;
	readonly tickMs?: number;
	/** The members that the group began with; used until a snapshot tells them. */
	readonly firstMembers?: readonly Member[];
};

/** One replica with its disk. */
export type ReplicaRunner = {
	readonly receive: (from: string, message: PeerMessage) => void;
	/** Resolves with the answer once the command is committed and applied. */
	readonly propose: (command: unknown) => Promise<unknown>;
	readonly changeMembers: (members: readonly Member[]) => Promise<void>;
	readonly transferLeadership: () => void;
	readonly getState: () => ReplicaState;
	/** Whether what this replica has applied is the newest, as of now. */
	readonly canServeReads: () => boolean;
	/** Resolves once a majority has confirmed, after the call, that this replica leads; what it has applied is then the newest as of the call. */
	readonly confirmRead: () => Promise<void>;
	readonly stop: () => Promise<void>;
};

type Waiting = {readonly term: number; readonly resolve: (answer: unknown) => void; readonly reject: (error: Error) => void};

type Proposal = Omit<Waiting, 'term'>;

const defaultTickMs = 20;
const defaultKeptEntries = 1024;
/** A read that no majority confirms within this is given up: three heartbeats of the slowest timing in use. */
const confirmMs = 1000;

/**
Runs a replica: its messages pass through the pure core, its log is synced before anything is promised.

@example
```
const runner = await createReplicaRunner({id, clock, store, machine, send, onFailure});
const answer = await runner.propose({kind: 'take_fencing_number', atMs: 0});
```
*/
export async function createReplicaRunner(options: ReplicaRunnerOptions): Promise<ReplicaRunner> {
	const {
		id, clock, store, machine, send, onFailure, snapshotEvery = 1000, keptEntries = defaultKeptEntries, timing, tickMs = defaultTickMs,
		firstMembers,
	} = options;
	const loaded = await store.load();
	const snapshotData = loaded.snapshot?.data as SnapshotData | undefined;
	const entries = loaded.entries as Entry[];
	const proposals = new Map<string, Proposal>();
	const waiting = new Map<number, Waiting>();
	let storedSnapshot = snapshotData;
	let appliedIndex = loaded.snapshot?.index ?? 0;
	let queue: Message[] = [];
	const reads = new Set<{readonly askedAtMs: number; readonly resolve: () => void}>();
	let isDraining = false;
	let draining = Promise.resolve();
	let isStopped = false;

	if (snapshotData !== undefined) {
		machine.decode(snapshotData.machine);
	}

	const effects: Effect[] = [];
	const firstMark = firstMembers === undefined ? undefined : {index: 0, term: 0, members: firstMembers};
	const task = createTask<ReplicaState, Message, Effect>({
		initial: createReplica({
			id, nowMs: clock.readMonotonicMs(), timing, hardState: loaded.hardState, snapshot: snapshotData?.mark ?? firstMark, entries,
		}),
		clock,
		transition: stepReplica,
		perform(effect) {
			effects.push(effect);
		},
		onFailure,
	});

	const fail = (error: unknown) => {
		isStopped = true;
		queue = [];
		rejectAll(new ProposalError(false, 'the replica failed'));
		onFailure(error);
	};

	const rejectAll = (error: ProposalError) => {
		for (const one of [...waiting.values(), ...proposals.values()]) {
			one.reject(error);
		}

		waiting.clear();
		proposals.clear();
	};

	// All messages that came while the last batch was being synced make the next batch: they share one sync.
	const drain = async () => {
		isDraining = true;

		try {
			while (queue.length > 0) {
				const batch = queue;
				queue = [];

				for (const message of batch) {
					task.send(message);
				}

				await carryOut(effects.splice(0));
				settleReads();
			}
		} catch (error) {
			fail(error);
		}

		isDraining = false;
	};

	const enqueue = (message: Message) => {
		if (isStopped) {
			return;
		}

		queue.push(message);

		if (!isDraining) {
			draining = drain();
		}
	};

	// Reads that came since the last round share the next one.
	const settleReads = () => {
		const state = task.getState();
		const isApplied = getTermAt(state.log, appliedIndex) === state.term;

		for (const read of reads) {
			if (isApplied && isReadConfirmed(state, read.askedAtMs)) {
				reads.delete(read);
				read.resolve();
			}
		}
	};

	const carryOut = async (batch: readonly Effect[]) => {
		// A message may leave before the sync only if no new term or vote is being synced along with it.
		const hasHardState = batch.some(effect => effect.kind === EffectKind.Persist && effect.hardState !== undefined);
		const isEarly = (effect: Effect) => !hasHardState && effect.kind === EffectKind.Send && effect.isBeforeSync;

		for (const effect of batch.filter(one => isEarly(one))) {
			perform(effect);
		}

		await persistAll(batch);

		for (const effect of batch.filter(one => !isEarly(one))) {
			perform(effect);
		}

		await compactIfDue();
	};

	const persistAll = async (batch: readonly Effect[]) => {
		let batches: PersistBatch[] = [];

		for (const effect of batch) {
			if (effect.kind === EffectKind.Persist) {
				batches.push(effect);
			} else if (effect.kind === EffectKind.InstallSnapshot) {
				await persistSome(batches);
				batches = [];
				const {term, votedFor} = task.getState();
				storedSnapshot = effect.data as SnapshotData;
				await store.saveSnapshot({index: effect.mark.index, term: effect.mark.term, data: effect.data}, {term, votedFor}, []);
			}
		}

		await persistSome(batches);
	};

	const persistSome = async (batches: readonly PersistBatch[]) => {
		if (batches.length > 0) {
			await store.persist(batches);
		}
	};

	const perform = (effect: Effect) => {
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
				rejectAll(new ProposalError(false, 'another replica leads'));
				break;
			}

			case EffectKind.Accepted: {
				const proposal = proposals.get(effect.proposalId);
				proposals.delete(effect.proposalId);

				if (proposal !== undefined) {
					waiting.set(effect.index, {...proposal, term: effect.term});
				}

				break;
			}

			case EffectKind.Rejected: {
				const proposal = proposals.get(effect.proposalId);
				proposals.delete(effect.proposalId);
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

	const applyEntry = (entry: Entry) => {
		const answer = entry.payload.kind === EntryKind.Command ? machine.apply(entry.payload.command) : undefined;
		appliedIndex = entry.index;
		const proposer = waiting.get(entry.index);
		waiting.delete(entry.index);

		if (proposer === undefined) {
			return;
		}

		if (proposer.term === entry.term) {
			proposer.resolve(answer);
		} else {
			proposer.reject(new ProposalError(true, 'another leader\'s entry took its place'));
		}
	};

	const compactIfDue = async () => {
		const state = task.getState();
		const since = appliedIndex - (storedSnapshot?.mark.index ?? 0);

		if (since < snapshotEvery) {
			return;
		}

		const mark = createMark(state, appliedIndex);
		const data: SnapshotData = {mark, machine: machine.encode()};
		const rest = state.log.entries.filter(entry => entry.index > appliedIndex) as LogEntry[];
		await store.saveSnapshot({index: mark.index, term: mark.term, data}, {term: state.term, votedFor: state.votedFor}, rest);
		storedSnapshot = data;
		task.send({kind: MessageKind.Compacted, index: appliedIndex - keptEntries});
	};

	const timer = setInterval(() => {
		enqueue({kind: MessageKind.Tick});
	}, tickMs);

	const enqueueProposal = async (createMessage: (proposalId: string) => Message) => {
		if (isStopped) {
			throw new ProposalError(true, 'the replica is stopped');
		}

		const proposalId = createId('p', 0);

		return new Promise((resolve, reject) => {
			proposals.set(proposalId, {resolve, reject});
			enqueue(createMessage(proposalId));
		});
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
		getState: task.getState,
		canServeReads() {
			const state = task.getState();

			return isLeaseHeld(state, clock.readMonotonicMs()) && getTermAt(state.log, appliedIndex) === state.term;
		},
		async confirmRead() {
			if (isStopped || task.getState().role !== ReplicaRole.Leader) {
				throw new ProposalError(true, 'not_leader');
			}

			await new Promise<void>((resolve, reject) => {
				const read = {askedAtMs: clock.readMonotonicMs(), resolve};
				reads.add(read);
				setTimeout(() => {
					if (reads.delete(read)) {
						reject(new ProposalError(true, 'no majority confirmed the read'));
					}
				}, confirmMs);
				enqueue({kind: MessageKind.Confirm});
			});
		},
		async stop() {
			clearInterval(timer);
			isStopped = true;
			rejectAll(new ProposalError(false, 'the replica stops'));
			// A write or a snapshot under way is finished first.
			await draining;
			await store.close();
		},
	};
}

type SnapshotData = {
	readonly mark: ReturnType<typeof createMark>;
	readonly machine: unknown;
};
