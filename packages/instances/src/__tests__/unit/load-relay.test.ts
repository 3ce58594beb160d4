import test from 'ava';
import fc from 'fast-check';
import {
	createLoadRelay, hasPendingLoad, relayLoads, maxSharesAgeMs, addGatewayUpdate, addRelayUpdate, type LoadUpdate, type LoadRelay,
} from '../../index.js';

const addWorkTo = (sums: Map<string, number>, note: LoadUpdate) => {
	for (const [id, workMs, correctionMs] of note.work) {
		sums.set(id, (sums.get(id) ?? 0) + workMs + correctionMs);
	}
};

/** Relays and their gateways. Messages are delivered in the order in which they were sent, or lost. */
class Fleet {
	readonly relays: LoadRelay[];
	readonly heard: ReadonlyArray<Map<string, number>>;
	readonly shares: Array<LoadUpdate['shares']>;
	messageCounts: number[];

	constructor(readonly relayCount: number, readonly gatewayCount: number) {
		this.relays = Array.from({length: relayCount}, () => createLoadRelay());
		this.heard = Array.from({length: gatewayCount}, () => new Map());
		this.shares = Array.from({length: gatewayCount});
		this.messageCounts = Array.from({length: gatewayCount}, () => 0);
	}

	sendUpdate(gateway: number, note: LoadUpdate, nowMs: number): void {
		const home = gateway % this.relayCount;
		this.relays[home] = addGatewayUpdate(this.relays[home]!, `g${gateway}`, {note, nowMs});
	}

	pass(nowMs: number, isPartitioned: (from: number, to: number) => boolean = () => false): void {
		for (const [from, relay] of this.relays.entries()) {
			const gateways = this.heard.map((_, gateway) => gateway).filter(gateway => gateway % this.relayCount === from).map(gateway => `g${gateway}`);
			const round = relayLoads(relay, {gateways, nowMs});
			this.relays[from] = round.relay;

			for (const [to, other] of this.relays.entries()) {
				if (to !== from && round.toRelays !== undefined && !isPartitioned(from, to)) {
					this.relays[to] = addRelayUpdate(other, `r${from}`, {note: round.toRelays, nowMs});
				}
			}

			for (const [address, note] of round.toGateways) {
				const gateway = Number(address.slice(1));
				addWorkTo(this.heard[gateway]!, note);
				this.messageCounts[gateway]!++;
				this.shares[gateway] = note.shares ?? this.shares[gateway];
			}
		}
	}
}

test('each gateway receives all work of the others exactly once, and none of its own', t => {
	const notesOfGateways = fc.array(fc.tuple(fc.nat(11), fc.nat(3), fc.integer({min: -50, max: 400})), {maxLength: 60});
	fc.assert(fc.property(fc.integer({min: 1, max: 5}), fc.integer({min: 1, max: 12}), notesOfGateways, (relayCount, gatewayCount, notes) => {
		const fleet = new Fleet(relayCount, gatewayCount);
		const reportedWork = Array.from({length: gatewayCount}, () => new Map<string, number>());

		for (const [position, [gateway, instance, workMs]] of notes.entries()) {
			const note: LoadUpdate = {work: [[`i-${instance}`, workMs, 1]]};
			fleet.sendUpdate(gateway % gatewayCount, note, position);
			addWorkTo(reportedWork[gateway % gatewayCount]!, note);

			if (position % 3 === 0) {
				fleet.pass(position);
			}
		}

		// Two more rounds: one to the other relays, one from there to their gateways.
		fleet.pass(1000);
		fleet.pass(1040);

		for (const [gateway, received] of fleet.heard.entries()) {
			for (let instance = 0; instance < 4; instance++) {
				const id = `i-${instance}`;
				const others = reportedWork.filter((_, other) => other !== gateway).map(sums => sums.get(id) ?? 0);
				let expected = 0;

				for (const workMs of others) {
					expected += workMs;
				}

				t.is(received.get(id) ?? 0, expected);
			}
		}
	}), {seed: 7, numRuns: 200});
});

test('each gateway receives the sum of the shares of the others, and shares of an unreachable relay expire', t => {
	const fleet = new Fleet(3, 9);

	for (let gateway = 0; gateway < 9; gateway++) {
		fleet.sendUpdate(gateway, {shares: [['i-1', gateway + 1, 100]], work: []}, 0);
	}

	fleet.pass(0);
	fleet.pass(600);
	t.deepEqual(fleet.shares.map(shares => shares?.[0]?.[1]), Array.from({length: 9}, (_, gateway) => 45 - (gateway + 1)));

	// The first relay is partitioned: the shares of its gateways count for the others until they expire.
	const isPartitioned = (from: number) => from === 0;

	for (let nowMs = 700; nowMs < 700 + maxSharesAgeMs + 1500; nowMs += 500) {
		for (let gateway = 0; gateway < 9; gateway++) {
			fleet.sendUpdate(gateway, {shares: [['i-1', gateway + 1, 100]], work: []}, nowMs);
		}

		fleet.pass(nowMs, isPartitioned);
	}

	const sharesOfFirstRelay = 1 + 4 + 7;
	t.is(fleet.shares[1]?.[0]?.[1], 45 - 2 - sharesOfFirstRelay);
});

test('the number of messages that a gateway receives does not grow with the number of gateways', t => {
	const countMessages = (gatewayCount: number) => {
		const fleet = new Fleet(5, gatewayCount);

		for (let nowMs = 0; nowMs < 4000; nowMs += 40) {
			for (let gateway = 0; gateway < gatewayCount; gateway++) {
				fleet.sendUpdate(gateway, {shares: [['i-1', 1, 10]], work: [['i-1', 20, 0]]}, nowMs);
			}

			fleet.pass(nowMs);
		}

		return Math.max(...fleet.messageCounts);
	};

	t.true(countMessages(30) <= 100);
	t.is(countMessages(30), countMessages(300));
	t.is(countMessages(300), countMessages(1000));
});

test('a fleet without requests sends one empty update and then nothing', t => {
	const fleet = new Fleet(1, 2);
	fleet.sendUpdate(0, {shares: [['i-1', 1, 10]], work: []}, 0);
	fleet.pass(0);
	fleet.sendUpdate(0, {shares: [], work: []}, 500);
	fleet.pass(500);
	t.deepEqual(fleet.shares[1], []);
	fleet.pass(2600);
	const messageCounts = [...fleet.messageCounts];

	for (let nowMs = 3100; nowMs < 8000; nowMs += 500) {
		fleet.pass(nowMs);
	}

	t.deepEqual(fleet.messageCounts, messageCounts);
	t.false(hasPendingLoad(fleet.relays[0]!));
});

test('the newest pace of an instance reaches the gateways of all relays once', t => {
	const note = (slowdown: number): LoadUpdate => ({work: [], paces: [['i-1', slowdown]]});
	const first = addGatewayUpdate(addGatewayUpdate(createLoadRelay(), 'g0', {note: note(2.5), nowMs: 0}), 'g1', {note: note(1), nowMs: 1});
	t.true(hasPendingLoad(first));
	const round = relayLoads(first, {gateways: ['g0', 'g1'], nowMs: 15});
	t.deepEqual(round.toRelays?.paces, [['i-1', 1]]);
	t.deepEqual(round.toGateways.map(([, {paces}]) => paces), [[['i-1', 1]], [['i-1', 1]]]);
	const second = addRelayUpdate(createLoadRelay(), 'r0', {note: round.toRelays!, nowMs: 16});
	const relayed = relayLoads(second, {gateways: ['g2'], nowMs: 30});
	t.deepEqual(relayed.toGateways.map(([, {paces}]) => paces), [[['i-1', 1]]]);
	t.is(relayed.toRelays?.paces, undefined);
	t.deepEqual(relayLoads(relayed.relay, {gateways: ['g2'], nowMs: 45}).toGateways, []);
});
