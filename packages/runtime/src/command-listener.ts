import {type Clock} from '@fescuestair/core';
import {
	LinkFaultKind, type LinkCommands, type LinkFault, type LinkReply,
} from '@fescuestair/protocol';
import {
	InvalidFrameError, createLinkServer, parseAddress, type Links, type LinkServer, type LinkServerOptions,
} from '@fescuestair/transport';
import {type Logger} from './logger.js';
import {type PrometheusMetrics} from './prometheus-metrics.js';

/** Faults logged per window of one second; further ones are only counted, so that a faulty peer cannot flood the log. */
const maxLoggedFaultsPerWindow = 5;
const faultLogWindowMs = 1000;

/**
Creates a handler for link messages that were rejected or whose handler failed: counts each and logs a limited number of them.

@example
```
const commands = createLinkCommands({onFault: createLinkFaultHandler({log, clock, count})});
```
*/
export function createLinkFaultHandler({log, clock, count}: LinkFaultHandlerOptions): (fault: LinkFault) => void {
	let windowEndMs = 0;
	let loggedInWindow = 0;

	return ({fault, kind, error}) => {
		count('link_faults_total', {fault});
		const nowMs = clock.readMonotonicMs();

		if (nowMs >= windowEndMs) {
			windowEndMs = nowMs + faultLogWindowMs;
			loggedInWindow = 0;
		}

		if (loggedInWindow++ < maxLoggedFaultsPerWindow) {
			const reason = error instanceof Error ? error.stack : error;
			log[fault === LinkFaultKind.HandlerFailed ? 'error' : 'warn']('a message was not taken', {fault, kind, ...(reason !== undefined && {reason})});
		}
	};
}

/**
Registers the metrics of a daemon's links: messages handled by kind, and the number and traffic of the links that this daemon opened.

@example
```
registerLinkMetrics(metrics, {links, commands});
```
*/
export function registerLinkMetrics(metrics: PrometheusMetrics, {links, commands}: {readonly links: Links; readonly commands: LinkCommands}): void {
	metrics.registerLabelledGauge('link_messages_taken', 'Messages of other daemons that were taken', {label: 'kind', read: commands.listCounts});
	metrics.registerGauge('link_bytes', 'Bytes of the links opened from here, both ways', links.countBytes);
	metrics.registerGauge('links_open', 'Links opened from here', links.countOpen);
}

export type LinkFaultHandlerOptions = {
	readonly log: Logger;
	readonly clock: Clock;
	readonly count: (name: string, labels: Readonly<Record<string, string>>) => void;
};

export type CommandListenerOptions = Pick<LinkServerOptions, 'getKeys'> & {
	/** `ip:port` of the listener for links from other daemons. */
	readonly listen: string;
	readonly commands: LinkCommands;
	readonly log: Logger;
};

/**
Opens the listener for links and dispatches incoming messages to the command handlers of a daemon.

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
			if (error instanceof InvalidFrameError) {
				log.warn('a link broke the rules and was closed', {address, reason: error.message});
			} else {
				log.debug('link failed', {address, reason: error.message});
			}
		},
	});
}
