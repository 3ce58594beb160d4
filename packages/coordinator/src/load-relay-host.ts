import {isFlag, isRecordOf, type Clock} from '@fescuestair/core';
import {
	createLoadRelay, hasLoadNews, isLoadNote, relayLoads, takeGatewayNote, takeRelayNote, type LoadNote,
} from '@fescuestair/instances';
import {
	isName, LinkKind, type LinkCommands, type LinkMessage,
} from '@fescuestair/protocol';
import {type Links} from '@fescuestair/transport';

export type LoadRelayHostOptions = {
	readonly linkAddress: string;
	readonly clock: Clock;
	readonly links: Pick<Links, 'send'>;
	readonly commands: LinkCommands;
	/** Link addresses of the gateways that have this coordinator as their primary home. */
	readonly listGateways: () => readonly string[];
	/** Link addresses of the coordinators that are homes too. */
	readonly listRelays: () => readonly string[];
};

/** Work is passed on within this: short prompts that come meanwhile may meet a long one that nobody told of. */
const relayMs = 15;

/**
Creates the task of a coordinator that relays what gateways have at each instance. It has no timer while there is nothing to pass on.

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

	const send = (address: string, loads: LoadNote) => {
		links.send(address, {
			kind: LinkKind.Loads, from: linkAddress, loads, isRelayed: true,
		} satisfies LinkMessage);
	};

	const passOn = () => {
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

		if (hasLoadNews(relay)) {
			schedule(Math.max(relayMs, relay.sharesDueMs - nowMs));
		}
	};

	const schedule = (afterMs: number) => {
		const atMs = clock.readMonotonicMs() + afterMs;

		if (timer === undefined || atMs < timerAtMs) {
			clearTimeout(timer);
			timerAtMs = atMs;
			timer = setTimeout(passOn, afterMs);
		}
	};

	const unregister = commands.registerCommand(LinkKind.Loads, isRecordOf({from: isName, loads: isLoadNote, isRelayed: isFlag}), ({from, loads, isRelayed}) => {
		const input = {note: loads, nowMs: clock.readMonotonicMs()};
		relay = isRelayed ? takeRelayNote(relay, from, input) : takeGatewayNote(relay, from, input);
		schedule(loads.work.length > 0 ? relayMs : Math.max(relayMs, relay.sharesDueMs - input.nowMs));

		return true;
	});

	return {
		stop() {
			unregister();
			clearTimeout(timer);
		},
	};
}
