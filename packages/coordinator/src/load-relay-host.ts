import {isBoolean, isObjectWith, type Clock} from '@fescuestair/core';
import {
	createLoadRelay, hasPendingLoad, isLoadUpdate, relayLoads, addGatewayUpdate, addRelayUpdate, type LoadUpdate,
} from '@fescuestair/instances';
import {
	isName, LinkMessageKind, type LinkCommands, type LinkMessage,
} from '@fescuestair/protocol';
import {type Links} from '@fescuestair/transport';

export type LoadRelayHostOptions = {
	readonly linkAddress: string;
	readonly clock: Clock;
	readonly links: Pick<Links, 'send'>;
	readonly commands: LinkCommands;
	/** Link addresses of the gateways whose primary home is this coordinator. */
	readonly listGateways: () => readonly string[];
	/** Link addresses of the other coordinators that are homes of gateways. */
	readonly listRelays: () => readonly string[];
};

/**
Updates are collected for this long and relayed together. Kept short: until the work of a long prompt is relayed, other gateways do not know of
it and may queue short prompts behind it.
*/
const relayDelayMs = 15;

/**
Starts a coordinator's relaying of the load that each gateway has at each instance. No timer runs while nothing is pending.

@example
```
const relay = createLoadRelayHost({linkAddress, clock, links, commands, listGateways, listRelays});
relay.stop();
```
*/
export function createLoadRelayHost({linkAddress, clock, links, commands, listGateways, listRelays}: LoadRelayHostOptions): {readonly stop: () => void} {
	let relay = createLoadRelay();
	let timer: NodeJS.Timeout | undefined;
	let timerAtMs = 0;

	const send = (address: string, loads: LoadUpdate) => {
		links.send(address, {
			kind: LinkMessageKind.Loads, from: linkAddress, loads, isRelayed: true,
		} satisfies LinkMessage);
	};

	const relayPending = () => {
		timer = undefined;
		const nowMs = clock.readMonotonicMs();
		const round = relayLoads(relay, {gateways: listGateways(), nowMs});
		relay = round.relay;

		if (round.toRelays !== undefined) {
			for (const address of listRelays()) {
				send(address, round.toRelays);
			}
		}

		for (const [address, loads] of round.toGateways) {
			send(address, loads);
		}

		if (hasPendingLoad(relay)) {
			schedule(Math.max(relayDelayMs, relay.sharesDueMs - nowMs));
		}
	};

	const schedule = (delayMs: number) => {
		const atMs = clock.readMonotonicMs() + delayMs;

		if (timer === undefined || atMs < timerAtMs) {
			clearTimeout(timer);
			timerAtMs = atMs;
			timer = setTimeout(relayPending, delayMs);
		}
	};

	const unregister = commands.registerCommand(LinkMessageKind.Loads, isObjectWith({from: isName, loads: isLoadUpdate, isRelayed: isBoolean}), ({from, loads, isRelayed}) => {
		const input = {note: loads, nowMs: clock.readMonotonicMs()};
		relay = isRelayed ? addRelayUpdate(relay, from, input) : addGatewayUpdate(relay, from, input);
		schedule(loads.work.length > 0 || loads.paces !== undefined ? relayDelayMs : Math.max(relayDelayMs, relay.sharesDueMs - input.nowMs));

		return true;
	});

	return {
		stop() {
			unregister();
			clearTimeout(timer);
		},
	};
}
