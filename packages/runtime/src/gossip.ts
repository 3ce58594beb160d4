import {type Clock, createActor} from '@fescuestair/core';
import {
	createMembership, InputKind, isGossip, OutputKind, stepMembership, type Input, type MemberRecord, type Membership, type Output,
} from '@fescuestair/membership';
import {LinkMessageKind, type LinkMessage} from '@fescuestair/protocol';
import {type Links} from '@fescuestair/transport';

export type GossipOptions = {
	readonly self: MemberRecord;
	readonly seeds: readonly string[];
	readonly clock: Clock;
	readonly links: Links;
	readonly onChanged?: (record: MemberRecord) => void;
	readonly onFailure: (error: unknown) => void;
	/** Called when a gossip message fails validation. */
	readonly onInvalidGossip?: (fromAddress: string) => void;
};

/** Runs the membership protocol of this daemon and holds its view of the members. */
export type GossipHost = {
	readonly receive: (message: Omit<Extract<LinkMessage, {kind: LinkMessageKind.Gossip}>, 'kind'>) => void;
	/** Publishes the record of an upstream that this daemon sponsors: one that announced itself here and that this daemon monitors. */
	readonly publish: (record: MemberRecord) => void;
	/** Publishes the gauge of such an upstream: frequently changing values, such as its load, without a new version of its record. */
	readonly publishGauge: (id: string, values: readonly number[]) => void;
	/** Changes this daemon's own record and publishes its next version. */
	readonly publishSelf: (change: Partial<Pick<MemberRecord, 'status' | 'details'>>) => void;
	readonly getMembership: () => Membership;
	readonly stop: () => void;
};

const tickIntervalMs = 50;

/**
Creates the gossip actor of a daemon and starts its timer.

@example
```
const gossip = createGossip({self, seeds: ['10.0.0.1:7200'], clock, links, onFailure});
gossip.publishSelf({status: MemberStatus.Leaving});
```
*/
export function createGossip(options: GossipOptions): GossipHost {
	const {
		self, seeds, clock, links, onChanged = () => undefined, onFailure, onInvalidGossip = () => undefined,
	} = options;

	const perform = (output: Output) => {
		if (output.kind === OutputKind.Changed) {
			onChanged(output.record);

			return;
		}

		const message: LinkMessage = {
			kind: LinkMessageKind.Gossip, fromId: self.id, fromAddress: self.address, gossip: output.gossip,
		};
		links.send(output.address, message);
	};

	const actor = createActor<Membership, Input, Output>({
		initialState: createMembership({self, seeds, nowMs: clock.readMonotonicMs()}),
		clock,
		transition: stepMembership,
		perform,
		onFailure,
	});
	const timer = setInterval(() => {
		actor.send({kind: InputKind.Tick});
	}, tickIntervalMs);

	return {
		receive({fromId, fromAddress, gossip}) {
			if (isGossip(gossip)) {
				actor.send({
					kind: InputKind.Gossip, fromId, fromAddress, gossip,
				});
			} else {
				onInvalidGossip(fromAddress);
			}
		},
		publish(record) {
			actor.send({kind: InputKind.Publish, record});
		},
		publishGauge(id, values) {
			actor.send({kind: InputKind.PublishGauge, id, values});
		},
		publishSelf(change) {
			const own = actor.getState().held.get(self.id)!.record;
			actor.send({kind: InputKind.PublishSelf, record: {...own, ...change, version: own.version + 1}});
		},
		getMembership: actor.getState,
		stop() {
			clearInterval(timer);
			actor.stop();
		},
	};
}
