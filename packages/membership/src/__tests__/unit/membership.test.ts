import test from 'ava';
import {
	createMembership, InputKind, isNewer, listServing, MemberStatus, OutputKind, RecordKind, stepMembership, type Input, type MemberRecord, type Membership,
} from '../../index.js';

type Network = {
	readonly nodes: Map<string, Membership>;
	nowMs: number;
	/** Messages sent, to measure the cost of dissemination. */
	sent: number;
};

const tickMs = 50;

function createRecord(id: string, extra: Partial<MemberRecord> = {}): MemberRecord {
	return {
		id, kind: RecordKind.Entry, incarnation: 1, version: 1, status: MemberStatus.Alive, address: id, availabilityZone: 'north', details: {}, ...extra,
	};
}

function createNetwork(count: number): Network {
	const nodes = new Map<string, Membership>();

	for (let index = 0; index < count; index++) {
		const self = createRecord(`n${index}`);
		nodes.set(self.id, createMembership({self, seeds: ['n0', 'n1'], nowMs: 0}));
	}

	return {nodes, nowMs: 0, sent: 0};
}

function send(network: Network, id: string, input: Input, isLost: (from: string, to: string) => boolean): void {
	const node = network.nodes.get(id);

	if (node === undefined) {
		return;
	}

	const step = stepMembership(node, input, network.nowMs);
	network.nodes.set(id, step.state);

	for (const effect of step.effects) {
		if (effect.kind === OutputKind.Send && !isLost(id, effect.address)) {
			network.sent++;
			send(network, effect.address, {
				kind: InputKind.Gossip, fromId: id, fromAddress: id, gossip: effect.gossip,
			}, isLost);
		}
	}
}

function run(network: Network, forMs: number, isLost: (from: string, to: string) => boolean = () => false): void {
	const endMs = network.nowMs + forMs;

	while (network.nowMs < endMs) {
		network.nowMs += tickMs;

		for (const id of network.nodes.keys()) {
			send(network, id, {kind: InputKind.Tick}, isLost);
		}
	}
}

function countStatus(network: Network, id: string, status: MemberStatus): number {
	return [...network.nodes.values()].filter(node => node.held.get(id)?.record.status === status).length;
}

test('all daemons learn of each other from a seed', t => {
	const network = createNetwork(30);
	run(network, 10_000);
	t.true([...network.nodes.values()].every(node => listServing(node, RecordKind.Entry).length === 30));
});

test('a dead daemon is known dead everywhere in a few seconds, and no live one is', t => {
	const network = createNetwork(20);
	run(network, 10_000);
	network.nodes.delete('n7');
	run(network, 8000);
	t.is(countStatus(network, 'n7', MemberStatus.Dead), 19);
	t.is([...network.nodes.values()].reduce((sum, node) => sum + listServing(node, RecordKind.Entry).length, 0), 19 * 19);
});

test('a daemon that dies while it is leaving is known dead everywhere, and is never listed as serving', t => {
	const network = createNetwork(6);
	run(network, 5000);
	const own = network.nodes.get('n4')!.held.get('n4')!.record;
	send(network, 'n4', {kind: InputKind.PublishSelf, record: {...own, version: own.version + 1, status: MemberStatus.Leaving}}, () => false);
	run(network, 3000);
	t.is(countStatus(network, 'n4', MemberStatus.Leaving), 6);
	network.nodes.delete('n4');

	while (countStatus(network, 'n4', MemberStatus.Dead) < 5 && network.nowMs < 20_000) {
		run(network, tickMs);
		t.true([...network.nodes.values()].every(node => listServing(node, RecordKind.Entry).every(record => record.id !== 'n4')));
	}

	t.is(countStatus(network, 'n4', MemberStatus.Dead), 5);
});

test('indirect probes keep a daemon alive that one peer cannot reach', t => {
	const network = createNetwork(10);
	run(network, 10_000);
	run(network, 20_000, (from, to) => (from === 'n3' && to === 'n4') || (from === 'n4' && to === 'n3'));
	t.is(countStatus(network, 'n4', MemberStatus.Alive), 10);
});

test('an upstream that leaves is known everywhere within two seconds', t => {
	const network = createNetwork(20);
	run(network, 10_000);
	const record = createRecord('engine-1', {kind: RecordKind.Upstream, sponsorId: 'n5'});
	const neverLost = () => false;
	send(network, 'n5', {kind: InputKind.Publish, record}, neverLost);
	run(network, 10_000);
	t.true([...network.nodes.values()].every(node => listServing(node, RecordKind.Upstream).length === 1));
	send(network, 'n5', {kind: InputKind.Publish, record: {...record, version: 2, status: MemberStatus.Leaving}}, neverLost);
	run(network, 2000);
	t.true([...network.nodes.values()].every(node => listServing(node, RecordKind.Upstream).length === 0));
});

test('an upstream whose sponsor died stays if another sponsor takes it over, and is declared dead otherwise', t => {
	const network = createNetwork(6);
	run(network, 5000);
	const neverLost = () => false;
	const adopted = createRecord('engine-1', {kind: RecordKind.Upstream, sponsorId: 'n5'});
	const orphan = createRecord('engine-2', {kind: RecordKind.Upstream, sponsorId: 'n5'});
	send(network, 'n5', {kind: InputKind.Publish, record: adopted}, neverLost);
	send(network, 'n5', {kind: InputKind.Publish, record: orphan}, neverLost);
	run(network, 5000);
	network.nodes.delete('n5');
	run(network, 3000);
	send(network, 'n2', {kind: InputKind.Publish, record: {...adopted, version: 2, sponsorId: 'n2'}}, neverLost);
	run(network, 12_000);
	t.is(countStatus(network, 'engine-1', MemberStatus.Alive), 5);
	t.is(countStatus(network, 'engine-2', MemberStatus.Dead), 5);
});

test('a daemon wrongly declared dead refutes it', t => {
	const network = createNetwork(8);
	run(network, 8000);
	run(network, 6000, (from, to) => from === 'n3' || to === 'n3');
	t.is(countStatus(network, 'n3', MemberStatus.Dead), 7);
	run(network, 15_000);
	t.is(countStatus(network, 'n3', MemberStatus.Alive), 8);
});

test('two sides of a network partition that declared each other dead merge once it heals', t => {
	const network = createNetwork(8);
	run(network, 8000);
	const sideOf = (id: string) => Number(id.slice(1)) % 2;
	run(network, 20_000, (from, to) => sideOf(from) !== sideOf(to));
	t.is(countStatus(network, 'n1', MemberStatus.Dead), 4);
	run(network, 60_000);
	t.true([...network.nodes.values()].every(node => listServing(node, RecordKind.Entry).length === 8));
});

test('the record of a restarted daemon replaces those of its earlier incarnation', t => {
	const old = createRecord('n1', {incarnation: 1, version: 9, status: MemberStatus.Dead});
	t.true(isNewer(createRecord('n1', {incarnation: 2, version: 1}), old));
	t.false(isNewer(createRecord('n1', {incarnation: 1, version: 8}), old));
});

test('the messages that a daemon sends a second do not grow with the number of daemons', t => {
	const rates = [10, 40].map(count => {
		const network = createNetwork(count);
		run(network, 20_000);
		network.sent = 0;
		run(network, 20_000);

		return network.sent / count / 20;
	});
	t.true(rates[1]! < rates[0]! * 1.5, `${rates.join(' and ')} messages a second`);
});

function countGauge(network: Network, id: string, value: number): number {
	return [...network.nodes.values()].filter(node => node.held.get(id)?.record.gauge?.values[0] === value).length;
}

test('a gauge reaches nearly all daemons, and the latest one outlasts newer versions of the record, but not a new incarnation', t => {
	const network = createNetwork(40);
	run(network, 10_000);
	const neverLost = () => false;
	const record = createRecord('engine-1', {kind: RecordKind.Upstream, sponsorId: 'n5'});
	send(network, 'n5', {kind: InputKind.Publish, record}, neverLost);
	run(network, 10_000);

	for (const value of [3, 4]) {
		send(network, 'n5', {kind: InputKind.PublishGauge, id: 'engine-1', values: [value]}, neverLost);
		run(network, 5000);
		t.true(countGauge(network, 'engine-1', value) >= 36, `${countGauge(network, 'engine-1', value)} of 40 have the gauge ${value}`);
	}

	send(network, 'n5', {kind: InputKind.Publish, record: {...record, version: 2}}, neverLost);
	run(network, 5000);
	t.true(countGauge(network, 'engine-1', 4) >= 36, 'a new version of the record keeps the gauge');
	send(network, 'n5', {kind: InputKind.Publish, record: {...record, incarnation: 2}}, neverLost);
	run(network, 5000);
	t.is(countGauge(network, 'engine-1', 4), 0, 'a new incarnation drops the gauge');
	const before = network.sent;
	run(network, 5000);
	t.true(network.sent > before);
	t.true([...network.nodes.values()].every(node => node.pendingGauges.size === 0), 'each gauge is sent a limited number of times');
});
