import {type Clock} from '@fescuestair/core';
import {
	LinkFaultKind, type LinkCommands, type LinkFault, type LinkReply,
} from '@fescuestair/protocol';
import {
	BrokenFrameError, createLinkServer, parseAddress, type Links, type LinkServer, type LinkServerOptions,
} from '@fescuestair/transport';
import {type Log} from './log.js';
import {type ServedMetrics} from './served-metrics.js';

/** Faults of one kind that are logged in a second; more are only counted, so that a sick peer does not fill the log. */
const maxLoggedFaults = 5;
const faultSpanMs = 1000;

/**
Creates what a process does with messages that it does not take: each is counted, some are logged.

@example
```
const commands = createLinkCommands({onFault: createFaultLog({log, clock, count})});
```
*/
export function createFaultLog({log, clock, count}: FaultLogOptions): (fault: LinkFault) => void {
	let spanEndMs = 0;
	let logged = 0;

	return ({fault, kind, error}) => {
		count('link_faults_total', {fault});
		const nowMs = clock.readMonotonicMs();

		if (nowMs >= spanEndMs) {
			spanEndMs = nowMs + faultSpanMs;
			logged = 0;
		}

		if (logged++ < maxLoggedFaults) {
			const reason = error instanceof Error ? error.stack : error;
			log[fault === LinkFaultKind.Failed ? 'error' : 'warn']('a message was not taken', {fault, kind, ...(reason !== undefined && {reason})});
		}
	};
}

/**
Serves what a daemon's links carry: messages taken by kind, bytes and links of those opened from here.

@example
```
registerLinkMetrics(metrics, {links, commands});
```
*/
export function registerLinkMetrics(metrics: ServedMetrics, {links, commands}: {readonly links: Links; readonly commands: LinkCommands}): void {
	metrics.registerCounts('link_messages_taken', 'Messages of other daemons that were taken', {label: 'kind', read: commands.listCounts});
	metrics.registerGauge('link_bytes', 'Bytes of the links opened from here, both ways', links.countBytes);
	metrics.registerGauge('links_open', 'Links opened from here', links.countOpen);
}

export type FaultLogOptions = {
	readonly log: Log;
	readonly clock: Clock;
	readonly count: (name: string, labels: Readonly<Record<string, string>>) => void;
};

export type CommandListenerOptions = Pick<LinkServerOptions, 'getKeys'> & {
	/** `ip:port` for links from the system's other daemons. */
	readonly listen: string;
	readonly commands: LinkCommands;
	readonly log: Log;
};

/**
Opens the listener for links and gives what comes to the handlers of a daemon.

@example
```
const listener = await openCommandListener({listen: '10.0.0.1:7200', getKeys: undefined, commands, log});
```
*/
export async function openCommandListener({listen, getKeys, commands, log}: CommandListenerOptions): Promise<LinkServer> {
	return createLinkServer({
		listen: parseAddress(listen),
		getKeys,
		onMessage(message, reply) {
			commands.dispatch(message, reply);
		},
		onError(error, address) {
			if (error instanceof BrokenFrameError) {
				log.warn('a link broke the rules and was closed', {address, reason: error.message});
			} else {
				log.debug('link failed', {address, reason: error.message});
			}
		},
	});
}
