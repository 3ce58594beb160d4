import {type Clock, createTask} from '@fescuestair/core';
import {
	createMembership, InputKind, isGossip, OutputKind, stepMembership, type Input, type MemberRecord, type Membership, type Output,
} from '@fescuestair/membership';
import {LinkKind, type LinkMessage} from '@fescuestair/protocol';
import {type Links} from '@fescuestair/transport';

export type GossipOptions = {
	readonly self: MemberRecord;
	readonly seeds: readonly string[];
	readonly clock: Clock;
	readonly links: Links;
	readonly onChanged?: (record: MemberRecord) => void;
	readonly onFailure: (error: unknown) => void;
	/** What came as gossip is none. */
	readonly onRefused?: (fromAddress: string) => void;
};

/** The task that keeps this daemon's view of the members. */
export type GossipHost = {
	readonly receive: (message: Omit<Extract<LinkMessage, {kind: LinkKind.Gossip}>, 'kind'>) => void;
	readonly publish: (record: MemberRecord) => void;
	/** Sets the gauge of a record that this daemon sponsors. */
	readonly publishGauge: (id: string, values: readonly number[]) => void;
	/** Changes this daemon's own record. */
	readonly publishSelf: (change: Partial<Pick<MemberRecord, 'status' | 'details'>>) => void;
	readonly getMembership: () => Membership;
	readonly stop: () => void;
};

const tickMs = 50;

/**
Creates the gossip task of a daemon.

@example
```
const gossip = createGossip({self, seeds: ['10.0.0.1:7200'], clock, links, onFailure});
gossip.publishSelf({status: MemberStatus.Leaving});
```
*/
export function createGossip(options: GossipOptions): GossipHost {
	const {
		self, seeds, clock, links, onChanged = () => undefined, onFailure, onRefused = () => undefined,
	} = options;

	const perform = (output: Output) => {
		if (output.kind === OutputKind.Changed) {
			onChanged(output.record);

			return;
		}

		const message: LinkMessage = {
			kind: LinkKind.Gossip, fromId: self.id, fromAddress: self.address, gossip: output.gossip,
		};
		links.send(output.address, message);
	};

	const task = createTask<Membership, Input, Output>({
		initial: createMembership({self, seeds, nowMs: clock.readMonotonicMs()}),
		clock,
		transition: stepMembership,
		perform,
		onFailure,
	});
	const timer = setInterval(() => {
		task.send({kind: InputKind.Tick});
	}, tickMs);

	return {
		receive({fromId, fromAddress, gossip}) {
			if (isGossip(gossip)) {
				task.send({
					kind: InputKind.Gossip, fromId, fromAddress, gossip,
				});
			} else {
				onRefused(fromAddress);
			}
		},
		publish(record) {
			task.send({kind: InputKind.Publish, record});
		},
		publishGauge(id, values) {
			task.send({kind: InputKind.PublishGauge, id, values});
		},
		publishSelf(change) {
			const own = task.getState().held.get(self.id)!.record;
			task.send({kind: InputKind.PublishSelf, record: {...own, ...change, version: own.version + 1}});
		},
		getMembership: task.getState,
		stop() {
			clearInterval(timer);
			task.stop();
		},
	};
}
