import {
	countVoters, findMember, getLastIndex, isEmptyReplica, planMembershipChange, type PeerMessage,
} from '@fescuestair/agreement';
import {createManualClock} from '@fescuestair/core';
import {LinkMessageKind, type LinkMessage} from '@fescuestair/protocol';
import {
	createGroupMembership, createReplicaRunner, type GroupMembership, type ReplicaRunner,
} from '@fescuestair/replication';
import {createLogger} from '@fescuestair/runtime';
import {
	createLogStore, createSimulatedDisk, type SimulatedDisk, type SimulatedProcess,
} from '@fescuestair/storage';
import {createStateMachine, type StateMachine} from '../../state-machine.js';

export type SimulatedReplica = {
	readonly address: string;
	readonly runner: ReplicaRunner;
	readonly machine: StateMachine;
	readonly groupMembership: GroupMembership;
};

/** Replicas with disks in memory that found a group and repair it, as coordinators do. All delays are drawn from the seed. */
export type SimulatedDeployment = {
	readonly addresses: readonly string[];
	readonly random: () => number;
	readonly readTimeMs: () => number;
	readonly start: (address: string, options: {readonly isFirstStart: boolean}) => void;
	/** Takes the power from all processes at once. What they had not synced is lost or torn. */
	readonly losePower: () => void;
	readonly wipe: (address: string) => void;
	/** Ends the process; what it wrote stays on the disk, synced or not. */
	readonly kill: (address: string) => void;
	readonly isUp: (address: string) => boolean;
	/** Cuts the given replicas off from all others; those that were cut off before are connected again. */
	readonly cutOff: (addresses: readonly string[]) => void;
	/** Identities of the running replicas. */
	readonly listIds: () => ReadonlySet<string>;
	/** The replica that leads, if the group has the voters that the losses require. */
	readonly findLeader: () => SimulatedReplica | undefined;
	readonly run: (forMs: number) => Promise<void>;
	readonly failures: unknown[];
	readonly describe: () => string;
};

type Process = {readonly address: string;
	readonly disk: SimulatedProcess; replica?: SimulatedReplica; tick?: () => void; leaderHeardAtMs: number; leadingSinceMs?: number; isFounding: boolean; isAlive: boolean;};
type Envelope = {readonly from: Process; readonly to: string; readonly message: LinkMessage};

const stepMs = 20;
const planIntervalSteps = 6;
const lostMs = 2500;
const leaderTimeoutMs = 1500;
const messageLossChance = 0.02;
const folder = '/data';

const logger = createLogger({instance: 'simulated', isTerminal: false, writeLine: () => true});

/** Deterministic random numbers in [0, 1) (linear congruential generator). */
export function createRandom(seed: number): () => number {
	let state = seed;

	return () => {
		state = ((state * 1_664_525) + 1_013_904_223) % 4_294_967_296;

		return state / 4_294_967_296;
	};
}

/** Creates a deployment of replicas that are not started yet. The first `seedCount` of them are the first members. */
export function createSimulatedDeployment({seed, size, seedCount, lossesBorne}: {
	readonly seed: number; readonly size: number; readonly seedCount: number; readonly lossesBorne: number;
}): SimulatedDeployment {
	const random = createRandom(seed);
	const clock = createManualClock();
	const addresses = Array.from({length: size}, (_, position) => `10.0.0.${position + 1}:1`);
	const seeds = addresses.slice(0, seedCount);
	const requiredVoters = (2 * lossesBorne) + 1;
	const disks = new Map<string, SimulatedDisk>(addresses.map(address => [address, createSimulatedDisk()]));
	const processes = new Map<string, Process>();
	/** Messages and syncs in progress; each waits for its turn. */
	let inFlight: Envelope[] = [];
	let syncs: Array<{readonly address: string; readonly finish: () => void}> = [];
	let idCount = 0;
	const failures: unknown[] = [];
	let cutOff: readonly string[] = [];
	/** Chance that a sync in progress goes on for longer; slow disks have a high one. */
	const syncDelayChances = new Map(addresses.map(address => [address, 0.8 * random()]));

	const sendTo = (from: Process, to: string, message: LinkMessage) => {
		if (from.isAlive && random() >= messageLossChance) {
			inFlight.push({from, to, message});
		}
	};

	const open = async (address: string, process: Process, isFirstStart: boolean) => {
		const {fileSystem} = process.disk;
		const groupMembership = await createGroupMembership({
			dataFolder: folder, name: address, clock, log: logger, fileSystem, createIdSuffix: () => `${idCount++}`,
			firstGroup: isFirstStart && seeds.includes(address) ? {ownAddress: address, addresses: seeds} : undefined,
		});
		const machine = createStateMachine(clock);
		const runner: ReplicaRunner = await createReplicaRunner({
			id: groupMembership.getIdentity().id,
			clock,
			store: createLogStore({folder: `${folder}/agreement`, fileSystem}),
			machine,
			send(toId, message) {
				const {id: fromId, groupId} = groupMembership.getIdentity();
				const to = findMember(runner.getState().members, toId)?.address ?? groupMembership.findAddress(toId);

				if (to !== undefined && groupId !== undefined) {
					sendTo(process, to, {
						kind: LinkMessageKind.Agreement, groupId, fromId, fromAddress: address, toId, message,
					});
				}
			},
			onFailure(error) {
				failures.push(error);
			},
			snapshotIntervalEntries: 30,
			retainedEntries: 5,
			startTicking(tick) {
				process.tick = tick;

				return () => undefined;
			},
		});
		process.replica = {
			address, runner, machine, groupMembership,
		};
	};

	const createJoinMessage = ({groupMembership, runner, address}: SimulatedReplica): LinkMessage => {
		const founding = groupMembership.describeFounding(isEmptyReplica(runner.getState()));

		return {
			kind: LinkMessageKind.Join, id: groupMembership.getIdentity().id, name: address, address, ...(founding && {founding}),
		};
	};

	const receive = (process: Process, message: LinkMessage) => {
		const {runner, groupMembership} = process.replica!;

		switch (message.kind) {
			case LinkMessageKind.Agreement: {
				if (groupMembership.accept(message)) {
					runner.receive(message.fromId, message.message as PeerMessage);

					if (runner.getState().leaderId === message.fromId) {
						process.leaderHeardAtMs = clock.readMonotonicMs();
					}
				}

				break;
			}

			case LinkMessageKind.Join: {
				groupMembership.recordCandidate(message);
				break;
			}

			case LinkMessageKind.InviteToGroup: {
				void groupMembership.acceptInvitation(message, isEmptyReplica(runner.getState()));
				break;
			}

			default: {
				throw new Error(`unexpected message ${message.kind}`);
			}
		}
	};

	const advanceFounding = async (process: Process, {runner, groupMembership}: SimulatedReplica) => {
		if (process.isFounding) {
			return;
		}

		process.isFounding = true;
		const members = await groupMembership.advanceFounding(isEmptyReplica(runner.getState()), (to, invitation) => {
			sendTo(process, to, {kind: LinkMessageKind.InviteToGroup, ...invitation});
		});

		if (members !== undefined) {
			await changeMembers(runner, members);
		}

		process.isFounding = false;
	};

	const adjustMembers = (process: Process, {runner, groupMembership}: SimulatedReplica) => {
		const nowMs = clock.readMonotonicMs();

		if (!runner.canServeReads()) {
			process.leadingSinceMs = undefined;

			return;
		}

		process.leaderHeardAtMs = nowMs;
		process.leadingSinceMs ??= nowMs;
		const sinceMs = process.leadingSinceMs;
		const state = runner.getState();
		const members = planMembershipChange({
			members: state.members, candidates: groupMembership.listCandidates(state.members), nowMs, wantedVoters: Math.max(requiredVoters, Math.min(5, size)), lostMs,
			getLastHeardAtMs: id => id === state.id ? nowMs : Math.max(sinceMs, state.progress.get(id)?.ackedSentAtMs ?? 0),
		});

		if (members !== undefined) {
			void changeMembers(runner, members);
		}
	};

	const plan = (process: Process, replica: SimulatedReplica) => {
		if (clock.readMonotonicMs() - process.leaderHeardAtMs >= leaderTimeoutMs || isEmptyReplica(replica.runner.getState())) {
			for (const to of addresses) {
				sendTo(process, to, createJoinMessage(replica));
			}
		}

		void advanceFounding(process, replica);
		adjustMembers(process, replica);
	};

	// Promises of the processes go on as far as they can before the next event.
	const settle = async () => new Promise(resolve => {
		setImmediate(resolve);
	});

	const performEvents = async () => {
		for (let round = 0; round < 6; round++) {
			const events = [
				...inFlight.splice(0).map(envelope => () => {
					deliver(envelope);
				}),
				...syncs.splice(0).map(sync => () => {
					finishSync(sync);
				}),
			];

			while (events.length > 0) {
				const [event] = events.splice(Math.floor(random() * events.length), 1);
				event!();
				await settle();
			}
		}
	};

	const finishSync = (sync: (typeof syncs)[number]) => {
		if (random() < syncDelayChances.get(sync.address)!) {
			syncs.push(sync);
		} else {
			sync.finish();
		}
	};

	const deliver = (envelope: Envelope) => {
		if (cutOff.includes(envelope.to) || cutOff.includes(envelope.from.address)) {
			return;
		}

		if (random() < 0.1) {
			inFlight.push(envelope);

			return;
		}

		const process = processes.get(envelope.to);

		if (process?.replica !== undefined) {
			receive(process, envelope.message);
		}
	};

	let stepCount = 0;

	const runStep = async () => {
		clock.advance(stepMs);
		stepCount++;

		for (const process of processes.values()) {
			process.tick?.();

			if (process.replica !== undefined && stepCount % planIntervalSteps === 0) {
				plan(process, process.replica);
			}
		}

		await settle();
		await performEvents();
	};

	const end = (address: string) => {
		const process = processes.get(address);

		if (process !== undefined) {
			process.disk.kill();
			process.isAlive = false;
			processes.delete(address);
			// The connections of a process end with it. What others receive late, they received before.
			inFlight = inFlight.filter(envelope => envelope.to !== address && (envelope.from !== process || envelope.message.kind === LinkMessageKind.Agreement));
		}
	};

	return {
		addresses,
		random,
		readTimeMs: clock.readMonotonicMs,
		start(address, {isFirstStart}) {
			const process: Process = {
				address,
				disk: disks.get(address)!.startProcess(async operation => {
					if (operation === 'sync') {
						await new Promise<void>(resolve => {
							syncs.push({address, finish: resolve});
						});
					}
				}),
				leaderHeardAtMs: Number.NEGATIVE_INFINITY, isFounding: false, isAlive: true,
			};
			processes.set(address, process);
			void (async () => {
				try {
					await open(address, process, isFirstStart);
				} catch (error) {
					failures.push(error);
				}
			})();
		},
		losePower() {
			for (const address of addresses) {
				end(address);
				disks.get(address)!.losePower(random);
			}

			syncs = [];
		},
		wipe(address) {
			disks.get(address)!.wipe();
		},
		kill: end,
		cutOff(newlyCutOff) {
			cutOff = newlyCutOff;
		},
		isUp: address => processes.has(address),
		listIds: () => new Set([...processes.values()].flatMap(({replica}) => replica === undefined ? [] : [replica.groupMembership.getIdentity().id])),
		findLeader() {
			for (const {replica} of processes.values()) {
				if (replica?.runner.canServeReads() === true && countVoters(replica.runner.getState().members) >= requiredVoters) {
					return replica;
				}
			}

			return undefined;
		},
		async run(forMs) {
			const endMs = clock.readMonotonicMs() + forMs;

			while (clock.readMonotonicMs() < endMs) {
				await runStep();
			}
		},
		failures,
		describe: () => [...processes.values()].map(({address, replica}) => replica === undefined ? `${address} is opening` : describeReplica(replica)).join('; '),
	};
}

async function changeMembers(runner: ReplicaRunner, members: Parameters<ReplicaRunner['changeMembers']>[0]): Promise<void> {
	try {
		await runner.changeMembers(members);
	} catch {
		// The plan is made anew from the members then.
	}
}

function describeReplica({address, runner}: SimulatedReplica): string {
	const {id, role, term, log, commitIndex, members} = runner.getState();

	return `${address} as ${id} ${role} term ${term} last ${getLastIndex(log)} committed ${commitIndex} of ${members.map(member => `${member.id}${member.isVoter ? '' : ' (learner)'}`).join(', ')}`;
}
