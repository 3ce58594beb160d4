import {dispatchLinkMessage, type LinkCommands} from '@fescuestair/protocol';
import {
	createLinkServer, parseAddress, type LinkServer, type LinkServerOptions,
} from '@fescuestair/transport';
import {type Log} from './log.js';

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
			dispatchLinkMessage(commands, message, reply);
		},
		onError(error) {
			log.debug('link failed', {reason: error.message});
		},
	});
}
