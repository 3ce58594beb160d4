import process from 'node:process';
import test from 'ava';
import {
	CommandKind, CommandResponseKind, createCommand, type ClaimOutcome, type CommandRequest, type CommandResponse,
} from '@fescuestair/state';
import {
	createSimulatedDeployment, type SimulatedDeployment, type SimulatedReplica,
} from './simulated-deployment.js';

/** `DISK_LOSS_SEEDS=300` runs more of them; `DISK_LOSS_FIRST_SEED` chooses the first. */
const seedCount = Number(process.env.DISK_LOSS_SEEDS ?? 12);
const firstSeed = Number(process.env.DISK_LOSS_FIRST_SEED ?? 1);
const roundCount = 2;
const maxWaitMs = 60_000;

const shapes = [
	{size: 5, seedCount: 3, lossesBorne: 2},
	{size: 3, seedCount: 3, lossesBorne: 1},
	{size: 5, seedCount: 3, lossesBorne: 1},
] as const;

/** What the group has acknowledged. */
type Acknowledged = {
	/** Tokens of granted claims by key. */
	readonly claims: Map<string, number>;
	readonly settledKeys: Set<string>;
	/** Versions of accepted changes of the configuration by change id. */
	readonly changes: Map<string, number>;
};

const outcome: ClaimOutcome = {
	status: 200, contentType: 'text/plain', body: new Uint8Array(), isBodyOmitted: false,
};

function createClaim(key: string): CommandRequest {
	return {
		kind: CommandKind.Claim, organisation: 'o', key, bodyDigest: 'd', requestId: key, entryId: 'entry-1', leaseMs: 1e9, keepMs: 1e9,
	};
}

async function propose({runner, machine}: SimulatedReplica, request: CommandRequest): Promise<CommandResponse | undefined> {
	try {
		return await runner.propose(createCommand(request, {atMs: machine.readGroupTimeMs(), wallMs: 0})) as CommandResponse;
	} catch {
		// Not acknowledged: it may or may not be applied.
		return undefined;
	}
}

type StartOptions = {
	readonly maxDelayMs: number;
	readonly isFirst: boolean;
	/** Those that are started; all by default. */
	readonly addresses?: readonly string[];
	/** Those that start before the others. */
	readonly early?: ReadonlySet<string>;
};

async function startAll(deployment: SimulatedDeployment, {maxDelayMs, isFirst, addresses = deployment.addresses, early = new Set()}: StartOptions): Promise<void> {
	const {random} = deployment;
	const startTimes = new Map(addresses.map(address => [address, deployment.readTimeMs() + (early.has(address) ? 0 : random() * maxDelayMs)]));

	while (addresses.some(address => !deployment.isUp(address))) {
		for (const address of addresses) {
			if (!deployment.isUp(address) && startTimes.get(address)! <= deployment.readTimeMs()) {
				deployment.start(address, {isFirstStart: isFirst || random() < 0.5});
			}
		}

		await deployment.run(20);
	}
}

async function waitFor<Result>(deployment: SimulatedDeployment, what: string, find: () => Result | undefined): Promise<Result> {
	const endMs = deployment.readTimeMs() + maxWaitMs;

	while (deployment.readTimeMs() < endMs) {
		const found = find();

		if (found !== undefined) {
			return found;
		}

		await deployment.run(100);
	}

	throw new Error(`${what}: not within ${maxWaitMs} ms; ${deployment.describe()}`);
}

async function work(deployment: SimulatedDeployment, acknowledged: Acknowledged, {forMs, prefix}: {readonly forMs: number; readonly prefix: string}): Promise<void> {
	const {random} = deployment;
	const endMs = deployment.readTimeMs() + forMs;
	let count = 0;

	const claim = async (leader: SimulatedReplica, key: string) => {
		const answer = await propose(leader, createClaim(key));

		if (answer?.kind === CommandResponseKind.Granted) {
			acknowledged.claims.set(key, answer.token);
		}
	};

	const settle = async (leader: SimulatedReplica, key: string, token: number) => {
		const answer = await propose(leader, {
			kind: CommandKind.RecordOutcome, key, token, outcome,
		});

		if (answer?.kind === CommandResponseKind.Done) {
			acknowledged.settledKeys.add(key);
		}
	};

	const changeConfig = async (leader: SimulatedReplica, changeId: string) => {
		const answer = await propose(leader, {
			kind: CommandKind.ChangeConfig, changeId, actor: 'a', expectedVersion: leader.machine.getState().configVersion, upserts: [], removals: [], summary: '',
		});

		if (answer?.kind === CommandResponseKind.Accepted) {
			acknowledged.changes.set(changeId, answer.version);
		}
	};

	while (deployment.readTimeMs() < endMs) {
		const leader = deployment.findLeader();

		if (leader !== undefined) {
			void claim(leader, `${prefix}-${count++}`);
			const open = [...acknowledged.claims].find(([key]) => !acknowledged.settledKeys.has(key));

			if (open !== undefined && random() < 0.5) {
				void settle(leader, ...open);
			}

			if (random() < 0.3) {
				void changeConfig(leader, `${prefix}-change-${count}`);
			}
		}

		if (random() < 0.01) {
			const address = deployment.addresses[Math.floor(random() * deployment.addresses.length)]!;
			deployment.kill(address);
			deployment.start(address, {isFirstStart: false});
		}

		await deployment.run(20);
	}
}

async function checkAcknowledged(deployment: SimulatedDeployment, acknowledged: Acknowledged, name: string): Promise<void> {
	const leader = await waitFor(deployment, 'a leader after the losses', deployment.findLeader);
	const findings: string[] = [];
	const checks = [
		propose(leader, createClaim(`${name}-progress`)).then(answer => answer?.kind === CommandResponseKind.Granted || answer === undefined || findings.push(`progress: ${answer.kind}`)),
		...[...acknowledged.claims].map(async ([key, token]) => {
			const answer = await propose(leader, createClaim(key));
			const isSettled = acknowledged.settledKeys.has(key);
			const isKept = answer?.kind === CommandResponseKind.OutcomeRecorded || (!isSettled && answer?.kind === CommandResponseKind.Running && answer.token === token);

			if (answer !== undefined && !isKept) {
				findings.push(`${key}${isSettled ? ' (settled)' : ''}: ${answer.kind}`);
			}

			return answer !== undefined;
		}),
		...[...acknowledged.changes].map(async ([changeId, version]) => {
			const answer = await propose(leader, {
				kind: CommandKind.ChangeConfig, changeId, actor: 'a', expectedVersion: 0, upserts: [], removals: [], summary: '',
			});

			if (answer !== undefined && !(answer.kind === CommandResponseKind.Accepted && answer.version === version)) {
				findings.push(`${changeId}: ${answer.kind}`);
			}

			return answer !== undefined;
		}),
	];
	let answers: readonly unknown[] | undefined;
	void (async () => {
		answers = await Promise.all(checks);
	})();

	await waitFor(deployment, 'answers after the losses', () => answers);

	if (findings.length > 0) {
		throw new Error(`${name}, lost: ${findings.slice(0, 5).join('; ')} (${findings.length}); ${deployment.describe()}`);
	}

	if (answers?.includes(false)) {
		await checkAcknowledged(deployment, acknowledged, name);
	}
}

function shuffle(values: readonly string[], random: () => number): readonly string[] {
	return values.map(value => ({value, order: random()})).toSorted((a, b) => a.order - b.order).map(({value}) => value);
}

type Losses = {readonly wiped: readonly string[]; readonly early: readonly string[]; readonly isFirst?: boolean};

async function loseDisks(deployment: SimulatedDeployment, {wiped, early, isFirst = false}: Losses): Promise<void> {
	deployment.losePower();
	deployment.cutOff([]);

	for (const address of wiped) {
		deployment.wipe(address);
	}

	await startAll(deployment, {maxDelayMs: deployment.random() < 0.5 ? 400 : 6000, isFirst, early: new Set(early)});
}

// The group is founded, and it may be that one of the first members starts late for the first time, or is cut off meanwhile. Nothing may be
// acknowledged then that a founding by this one and those whose disks are lost could not know of.
async function loseDisksEarly(deployment: SimulatedDeployment, acknowledged: Acknowledged, shape: (typeof shapes)[number]): Promise<void> {
	const {random, addresses} = deployment;
	const late = addresses[1 + Math.floor(random() * (shape.seedCount - 1))]!;
	const others = addresses.filter(address => address !== late);
	const isLate = random() < 0.3;
	await startAll(deployment, {maxDelayMs: 400, isFirst: true, addresses: isLate ? others : addresses});

	if (random() < 0.5) {
		await deployment.run(random() * 600);
		deployment.cutOff([late]);
	}

	await work(deployment, acknowledged, {forMs: random() * 4000, prefix: 'early'});
	// Only what was acknowledged can be lost: a founder whose disk is lost while it collects the promises has to be started anew with the others.
	const wiped = acknowledged.claims.size === 0 ? [] : shuffle(others.slice(0, shape.seedCount - 1), random).slice(0, shape.lossesBorne);
	await loseDisks(deployment, {wiped, early: random() < 0.5 ? [...wiped, late] : [], isFirst: wiped.length === 0});
	await checkAcknowledged(deployment, acknowledged, 'early');
}

async function simulate(seed: number): Promise<number> {
	const shape = shapes[seed % shapes.length]!;
	const deployment = createSimulatedDeployment({seed, ...shape});
	const {random, addresses} = deployment;
	const acknowledged: Acknowledged = {claims: new Map(), settledKeys: new Set(), changes: new Map()};
	await loseDisksEarly(deployment, acknowledged, shape);

	for (let round = 0; round < roundCount; round++) {
		await waitFor(deployment, 'a whole group', () => {
			const members = deployment.findLeader()?.runner.getState().members ?? [];
			const liveIds = deployment.listIds();

			return members.length > 0 && members.every(({id, isVoter}) => isVoter && liveIds.has(id)) ? true : undefined;
		});
		await work(deployment, acknowledged, {forMs: 200 + (random() * 3000), prefix: `r${round}`});
		const shuffled = shuffle(addresses, random);
		const wiped = shuffled.slice(0, Math.ceil(random() * shape.lossesBorne));
		// What was acknowledged last is known to the smallest majority.
		const cutOff = random() < 0.5 ? shuffled.slice(-Math.floor((shape.size - 1) / 2)) : [];
		deployment.cutOff(cutOff);
		await work(deployment, acknowledged, {forMs: random() * 1000, prefix: `r${round}-end`});
		await loseDisks(deployment, {wiped, early: random() < 0.5 ? [...wiped, ...cutOff] : []});
		await checkAcknowledged(deployment, acknowledged, `round ${round}`);
	}

	if (deployment.failures.length > 0) {
		throw new Error(`failures: ${deployment.failures.map(String).join('; ')}`);
	}

	return acknowledged.claims.size + acknowledged.settledKeys.size + acknowledged.changes.size;
}

test('what was acknowledged stays when as many disks are lost as are borne and all others lose power at the same moment', async t => {
	const faults: string[] = [];
	let acknowledgedCount = 0;

	for (let seed = firstSeed; seed < firstSeed + seedCount; seed++) {
		try {
			acknowledgedCount += await simulate(seed);
		} catch (error) {
			faults.push(`seed ${seed}: ${(error as Error).message}`);
		}
	}

	t.log(`${seedCount} seeds, ${acknowledgedCount} acknowledged changes`);
	t.deepEqual(faults, []);
	t.true(acknowledgedCount > 10 * seedCount);
});
