import test from 'ava';
import fc from 'fast-check';
import {
	countVoters, findMember, MessageKind, planMembershipChange, type Member,
} from '../../index.js';
import {createGroup, runGroup, type Group} from './group.js';

const runCount = 40;
const seed = 20_261_204;
const wantedVoters = 5;
const lostMs = 2500;
const planIntervalMs = 260;
/** Time limit for the recovery from one loss: it is detected, a learner catches up and is promoted, and the lost member is removed. */
const maxRecoveryMs = 12_000;

/** Does what the coordinator daemons do: replicas outside the group ask to join, and the leader plans and proposes the next change. */
function applyPlannedChange(group: Group, addresses: ReadonlyMap<string, string>, leadingSince: Map<string, number>): void {
	const leader = group.findLeader();

	if (leader === undefined) {
		return;
	}

	const {state} = leader;
	const key = `${state.id} ${state.term}`;
	leadingSince.set(key, leadingSince.get(key) ?? group.nowMs);
	const candidates: Member[] = [...group.nodes.values()]
		.filter(node => node.isUp && findMember(state.members, node.state.id) === undefined)
		.map(node => ({
			id: node.state.id, name: node.state.id, address: addresses.get(node.state.id)!, isVoter: false,
		}));
	const members = planMembershipChange({
		members: state.members, candidates, nowMs: group.nowMs, wantedVoters, lostMs,
		getLastHeardAtMs: id => id === state.id ? group.nowMs : Math.max(leadingSince.get(key)!, state.progress.get(id)?.ackedSentAtMs ?? 0),
	});

	if (members !== undefined) {
		group.send(state.id, {kind: MessageKind.ChangeMembers, proposalId: `m${group.nowMs}`, members});
	}
}

function hasAllVoters(group: Group): boolean {
	const members = group.findLeader()?.state.members ?? [];

	return countVoters(members) === wantedVoters && members.length === wantedVoters && members.every(({id}) => group.nodes.get(id)?.isUp === true);
}

enum Loss {
	/** The process is killed and restarts with its disk. */
	Restart,
	/** The replica restarts at the same address with an empty disk. */
	WipeDisk,
	/** The replica is lost for good; another one with an empty disk starts at a different address. */
	Replace,
}

type Step = {readonly loss: Loss; readonly choice: number; readonly isLeader: boolean};

const step = fc.record({
	loss: fc.constantFrom(Loss.Restart, Loss.WipeDisk, Loss.Replace), choice: fc.nat(100), isLeader: fc.boolean(),
});

function simulateLosses(steps: readonly Step[]): {readonly isWhole: boolean; readonly lost: readonly string[]} {
	const ids = ['a', 'b', 'c'];
	const group = createGroup(ids);
	const addresses = new Map(ids.map(id => [id, `${id}:1`]));
	const leadingSince = new Map<string, number>();
	let createdCount = 0;
	const addEmptyReplica = (address: string) => {
		const id = `n${createdCount++}`;
		group.wipe('nobody', id);
		addresses.set(id, address);
	};

	const run = (forMs: number) => {
		const endMs = group.nowMs + forMs;

		while (group.nowMs < endMs) {
			runGroup(group, {forMs: planIntervalMs});
			applyPlannedChange(group, addresses, leadingSince);
		}
	};

	const recover = () => {
		const endMs = group.nowMs + maxRecoveryMs;

		while (!hasAllVoters(group) && group.nowMs < endMs) {
			run(planIntervalMs);
		}
	};

	addEmptyReplica('d:1');
	addEmptyReplica('e:1');
	recover();

	const accepted: string[] = [];
	for (const [position, {loss, choice, isLeader}] of steps.entries()) {
		const proposalId = `p${position}`;
		const leaderId = group.findLeader()?.state.id;

		if (leaderId !== undefined) {
			group.send(leaderId, {kind: MessageKind.Propose, proposalId, command: proposalId});
			run(planIntervalMs);
			accepted.push(proposalId);
		}

		const upIds = [...group.nodes.values()].filter(node => node.isUp).map(node => node.state.id);
		const id = isLeader && leaderId !== undefined ? leaderId : upIds[choice % upIds.length]!;
		const address = addresses.get(id)!;
		group.crash(id);

		switch (loss) {
			case Loss.Restart: {
				run(2 * planIntervalMs);
				group.restart(id);
				break;
			}

			case Loss.WipeDisk: {
				group.nodes.delete(id);
				addEmptyReplica(address);
				break;
			}

			case Loss.Replace: {
				group.nodes.delete(id);
				addEmptyReplica(`elsewhere-${position}:1`);
				break;
			}
		}

		recover();
	}

	const values = group.findLeader()?.values.map(String) ?? [];

	return {isWhole: hasAllVoters(group), lost: accepted.filter(id => !values.some(value => value.includes(`"${id}"`)))};
}

test('a group that starts with three voters grows to five and recovers from one loss after another without losing accepted commands', t => {
	const {counterexample} = fc.check(fc.property(fc.array(step, {minLength: 1, maxLength: 8}), steps => {
		const {isWhole: hasRecovered, lost} = simulateLosses(steps);

		return hasRecovered && lost.length === 0;
	}), {seed, numRuns: runCount});
	t.is(counterexample, null);
});
