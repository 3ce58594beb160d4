import test from 'ava';
import fc from 'fast-check';
import {
	countVoters, findMember, MessageKind, planMembers, type Member,
} from '../../index.js';
import {createGroup, runGroup, type Group} from './group.js';

const runs = 40;
const seed = 20_261_204;
const wantedVoters = 5;
const lostMs = 2500;
const upkeepMs = 260;
/** Longest time in which a group heals one loss: noticed, a learner fed, made a voter, the lost one dropped. */
const healMs = 12_000;

/** What the harness does in place of the coordinators: replicas without a place ask for one, and the leader plans. */
function keepGroup(group: Group, addresses: ReadonlyMap<string, string>, leadingSince: Map<string, number>): void {
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
	const members = planMembers({
		members: state.members, candidates, nowMs: group.nowMs, wantedVoters, lostMs,
		getHeardAtMs: id => id === state.id ? group.nowMs : Math.max(leadingSince.get(key)!, state.progress.get(id)?.ackedSentAtMs ?? 0),
	});

	if (members !== undefined) {
		group.send(state.id, {kind: MessageKind.ChangeMembers, proposalId: `m${group.nowMs}`, members});
	}
}

function isWhole(group: Group): boolean {
	const members = group.findLeader()?.state.members ?? [];

	return countVoters(members) === wantedVoters && members.length === wantedVoters && members.every(({id}) => group.nodes.get(id)?.isUp === true);
}

enum Loss {
	/** The process ends and starts again with its disk. */
	Kill,
	/** It starts again at its address with an empty disk. */
	Wipe,
	/** It never comes back; an empty one comes elsewhere. */
	Replace,
}

type Step = {readonly loss: Loss; readonly pick: number; readonly isLeader: boolean};

const step = fc.record({
	loss: fc.constantFrom(Loss.Kill, Loss.Wipe, Loss.Replace), pick: fc.nat(100), isLeader: fc.boolean(),
});

function playLosses(steps: readonly Step[]): {readonly isWhole: boolean; readonly lost: readonly string[]} {
	const ids = ['a', 'b', 'c'];
	const group = createGroup(ids);
	const addresses = new Map(ids.map(id => [id, `${id}:1`]));
	const leadingSince = new Map<string, number>();
	let created = 0;
	const addFresh = (address: string) => {
		const id = `n${created++}`;
		group.wipe('nobody', id);
		addresses.set(id, address);
	};

	const run = (forMs: number) => {
		const endMs = group.nowMs + forMs;

		while (group.nowMs < endMs) {
			runGroup(group, {forMs: upkeepMs});
			keepGroup(group, addresses, leadingSince);
		}
	};

	const heal = () => {
		const endMs = group.nowMs + healMs;

		while (!isWhole(group) && group.nowMs < endMs) {
			run(upkeepMs);
		}
	};

	addFresh('d:1');
	addFresh('e:1');
	heal();

	const accepted: string[] = [];
	for (const [position, {loss, pick, isLeader}] of steps.entries()) {
		const proposalId = `p${position}`;
		const leaderId = group.findLeader()?.state.id;

		if (leaderId !== undefined) {
			group.send(leaderId, {kind: MessageKind.Propose, proposalId, command: proposalId});
			run(upkeepMs);
			accepted.push(proposalId);
		}

		const up = [...group.nodes.values()].filter(node => node.isUp).map(node => node.state.id);
		const id = isLeader && leaderId !== undefined ? leaderId : up[pick % up.length]!;
		const address = addresses.get(id)!;
		group.crash(id);

		switch (loss) {
			case Loss.Kill: {
				run(2 * upkeepMs);
				group.restart(id);
				break;
			}

			case Loss.Wipe: {
				group.nodes.delete(id);
				addFresh(address);
				break;
			}

			case Loss.Replace: {
				group.nodes.delete(id);
				addFresh(`elsewhere-${position}:1`);
				break;
			}
		}

		heal();
	}

	const values = group.findLeader()?.values.map(String) ?? [];

	return {isWhole: isWhole(group), lost: accepted.filter(id => !values.some(value => value.includes(`"${id}"`)))};
}

test('a group that begins with three grows to five, and heals one loss after another without losing what it accepted', t => {
	const {counterexample} = fc.check(fc.property(fc.array(step, {minLength: 1, maxLength: 8}), steps => {
		const {isWhole: isHealed, lost} = playLosses(steps);

		return isHealed && lost.length === 0;
	}), {seed, numRuns: runs});
	t.is(counterexample, null);
});
