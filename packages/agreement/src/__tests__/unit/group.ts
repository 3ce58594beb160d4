import {type Step} from '@fescuestair/core';
import {
	createReplica, EffectKind, EntryKind, isLeaseHeld, MessageKind, ReplicaRole, stepReplica, type Effect, type Entry, type Member, type Message,
	type PeerMessage, type ReplicaState, type SnapshotMetadata,
} from '../../index.js';

type Disk = {
	hardState: {term: number; votedFor: string | undefined};
	snapshot: {mark: SnapshotMetadata; values: readonly unknown[]} | undefined;
	entries: Entry[];
};

type Node = {
	state: ReplicaState;
	disk: Disk;
	values: unknown[];
	appliedIndex: number;
	isUp: boolean;
};

type Envelope = {readonly from: string; readonly to: string; readonly message: PeerMessage};

/** Simulated replicas with disks in memory and a network that the test controls. */
export type Group = {
	readonly nodes: Map<string, Node>;
	readonly inFlight: Envelope[];
	readonly accepted: Map<string, {index: number; term: number}>;
	nowMs: number;
	readonly send: (id: string, message: Message) => void;
	readonly deliver: (position: number) => void;
	readonly crash: (id: string) => void;
	readonly restart: (id: string) => void;
	readonly wipe: (id: string, newId: string) => void;
	readonly compact: (id: string) => void;
	readonly findLeaseHolders: () => string[];
	readonly findLeader: () => Node | undefined;
	/** By log index, the value that the first replica applied there; all other replicas must apply the same. */
	readonly applied: Map<number, unknown>;
};

export function createMember(id: string, isVoter = true): Member {
	return {
		id, name: id, address: `${id}:1`, isVoter,
	};
}

/**
Creates a group of replicas. Stepping one throws if two replicas apply different values at one index, if a replica applies entries out of
order, or if a term has two leaders.
*/
export function createGroup(ids: readonly string[]): Group {
	const nodes = new Map<string, Node>();
	const inFlight: Envelope[] = [];
	const accepted = new Map<string, {index: number; term: number}>();
	const applied = new Map<number, unknown>();
	const leadersByTerm = new Map<number, string>();
	const members = ids.map(id => createMember(id));

	const createNode = (disk: Disk, id: string): Node => ({
		state: createReplica({
			id, nowMs: group.nowMs, hardState: disk.hardState, snapshot: disk.snapshot?.mark, entries: disk.entries,
		}),
		disk,
		values: [...disk.snapshot?.values ?? []],
		appliedIndex: disk.snapshot?.mark.index ?? 0,
		isUp: true,
	});

	const applyEntry = (node: Node, entry: Entry) => {
		const value = JSON.stringify([entry.term, entry.payload]);

		if (applied.has(entry.index) && applied.get(entry.index) !== value) {
			throw new Error(`index ${entry.index} applied as ${String(applied.get(entry.index))} and as ${value}`);
		}

		if (entry.index !== node.appliedIndex + 1) {
			throw new Error(`${node.state.id} applied index ${entry.index} after index ${node.appliedIndex}`);
		}

		applied.set(entry.index, value);
		node.values.push(value);
		node.appliedIndex = entry.index;
	};

	const perform = (node: Node, effect: Effect) => {
		switch (effect.kind) {
			case EffectKind.Persist: {
				node.disk.hardState = effect.hardState ?? node.disk.hardState;
				node.disk.entries = node.disk.entries.filter(entry => entry.index < (effect.truncateFrom ?? Infinity));
				node.disk.entries.push(...effect.entries ?? []);
				break;
			}

			case EffectKind.Send: {
				inFlight.push({from: node.state.id, to: effect.to, message: effect.message});
				break;
			}

			case EffectKind.SendSnapshot: {
				sendSnapshot(node, effect);
				break;
			}

			case EffectKind.Apply: {
				for (const entry of effect.entries) {
					applyEntry(node, entry);
				}

				break;
			}

			case EffectKind.InstallSnapshot: {
				node.disk.snapshot = {mark: effect.mark, values: effect.data as unknown[]};
				node.disk.entries = [];
				node.values = [...effect.data as unknown[]];
				node.appliedIndex = effect.mark.index;
				break;
			}

			case EffectKind.Accepted: {
				accepted.set(effect.proposalId, {index: effect.index, term: effect.term});
				break;
			}

			case EffectKind.Rejected: {
				break;
			}
		}
	};

	const sendSnapshot = (node: Node, effect: Extract<Effect, {kind: EffectKind.SendSnapshot}>) => {
		if (node.disk.snapshot === undefined) {
			throw new Error('no snapshot to send');
		}

		inFlight.push({
			from: node.state.id,
			to: effect.to,
			message: {
				kind: 'snapshot' as never, term: effect.term, mark: node.disk.snapshot.mark, data: node.disk.snapshot.values, sentAtMs: effect.sentAtMs,
			},
		});
	};

	const group: Group = {
		nodes,
		inFlight,
		accepted,
		applied,
		nowMs: 0,
		send(id, message) {
			const node = nodes.get(id);

			if (!node?.isUp) {
				return;
			}

			const step: Step<ReplicaState, Effect> = stepReplica(node.state, message, group.nowMs);
			node.state = step.state;

			for (const effect of step.effects) {
				perform(node, effect);
			}

			checkSingleLeader(node);
		},
		deliver(position) {
			const [envelope] = inFlight.splice(position, 1);

			if (envelope !== undefined) {
				group.send(envelope.to, {kind: MessageKind.Peer, from: envelope.from, message: envelope.message});
			}
		},
		crash(id) {
			const node = nodes.get(id);

			if (node !== undefined) {
				node.isUp = false;
			}
		},
		restart(id) {
			const node = nodes.get(id);

			if (node !== undefined && !node.isUp) {
				nodes.set(id, createNode(node.disk, id));
			}
		},
		wipe(id, newId) {
			nodes.delete(id);
			nodes.set(newId, createNode({hardState: {term: 0, votedFor: undefined}, snapshot: undefined, entries: []}, newId));
		},
		compact(id) {
			const node = nodes.get(id);

			if (!node?.isUp || node.appliedIndex <= node.state.log.snapshot.index) {
				return;
			}

			const index = node.appliedIndex;
			group.send(id, {kind: MessageKind.Compacted, index});
			node.disk.snapshot = {mark: node.state.log.snapshot, values: [...node.values]};
			node.disk.entries = node.disk.entries.filter(entry => entry.index > index);
		},
		findLeaseHolders: () => [...nodes.values()].filter(node => node.isUp && isLeaseHeld(node.state, group.nowMs)).map(node => node.state.id),
		findLeader: () => [...nodes.values()].find(node => node.isUp && isLeaseHeld(node.state, group.nowMs)),
	};

	const checkSingleLeader = (node: Node) => {
		if (node.state.role !== ReplicaRole.Leader) {
			return;
		}

		const other = leadersByTerm.get(node.state.term);

		if (other !== undefined && other !== node.state.id) {
			throw new Error(`term ${node.state.term} has two leaders: ${other} and ${node.state.id}`);
		}

		leadersByTerm.set(node.state.term, node.state.id);
	};

	for (const id of ids) {
		const firstEntry: Entry = {index: 1, term: 1, payload: {kind: EntryKind.Members, members}};
		nodes.set(id, createNode({hardState: {term: 1, votedFor: undefined}, snapshot: undefined, entries: [firstEntry]}, id));
	}

	return group;
}

type RunOptions = {readonly forMs: number; readonly isDropped?: (envelope: Envelope) => boolean};

const tickMs = 20;

/** Runs the group for a time span. Messages are delivered without delay, except for those that are dropped. */
export function runGroup(group: Group, {forMs, isDropped = () => false}: RunOptions): void {
	const endMs = group.nowMs + forMs;

	while (group.nowMs < endMs) {
		group.nowMs += tickMs;

		for (const id of group.nodes.keys()) {
			group.send(id, {kind: MessageKind.Tick});
		}

		for (let round = 0; round < 6 && group.inFlight.length > 0; round++) {
			const envelopes = group.inFlight.splice(0);

			for (const envelope of envelopes.filter(one => !isDropped(one))) {
				group.send(envelope.to, {kind: MessageKind.Peer, from: envelope.from, message: envelope.message});
			}
		}
	}
}
