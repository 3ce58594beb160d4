import net, {type Socket} from 'node:net';
import tls from 'node:tls';
import {once} from 'node:events';
import {FrameKind, openFrameChannel, type Frame} from './link-frames.js';
import {endWhenIdle} from './link-liveness.js';
import {linkCiphers} from './link-timing.js';
import {type Address} from './address.js';
import {type ClusterKeys} from './cluster-keys.js';

/** Handles a message; `reply` is absent where no answer is awaited. */
export type LinkHandler = (message: unknown, reply: ((answer: unknown) => void) | undefined) => void;

export type LinkServerOptions = {
	readonly listen: Address;
	/** Read at each handshake, so that keys can be rotated without a stop. */
	readonly getKeys: (() => ClusterKeys) | undefined;
	readonly onMessage: LinkHandler;
	readonly onError?: (error: Error) => void;
};

export type LinkServer = {
	readonly port: number;
	readonly close: () => Promise<void>;
};

/**
Creates the listener for links from the system's other processes. Both sides prove that they hold a cluster key, where there are keys.

@example
```
const server = await createLinkServer({listen, getKeys: () => keys, onMessage: (message, reply) => reply?.('pong')});
```
*/
export async function createLinkServer(options: LinkServerOptions): Promise<LinkServer> {
	const {listen, getKeys, onMessage, onError = () => undefined} = options;
	const sockets = new Set<Socket>();
	const server = getKeys === undefined ? net.createServer() : createSecureServer(getKeys);

	server.on(getKeys === undefined ? 'connection' : 'secureConnection', (socket: Socket) => {
		sockets.add(socket);
		serveSocket(socket, onMessage);
		socket.on('close', () => {
			sockets.delete(socket);
		});
		socket.on('error', onError);
	});
	server.on('tlsClientError', onError);
	server.listen(listen.port, listen.host);
	await once(server, 'listening');
	const address = server.address();

	return {
		port: typeof address === 'object' && address !== null ? address.port : listen.port,
		async close() {
			const closed = once(server, 'close');
			server.close();

			for (const socket of sockets) {
				socket.destroy();
			}

			await closed;
		},
	};
}

function createSecureServer(getKeys: () => ClusterKeys): tls.Server {
	return tls.createServer({
		ciphers: linkCiphers,
		maxVersion: 'TLSv1.2',
		pskCallback: (_socket, identity) => (getKeys().keys.get(identity) ?? null),
	});
}

function serveSocket(socket: Socket, onMessage: LinkHandler): void {
	socket.setNoDelay(true);
	const channel = openFrameChannel(socket, ([kind, callId, body]: Frame) => {
		switch (kind) {
			case FrameKind.Call: {
				onMessage(body, answer => {
					channel.write([FrameKind.Reply, callId, answer]);
				});

				break;
			}

			case FrameKind.OneWay: {
				onMessage(body, undefined);

				break;
			}

			case FrameKind.Heartbeat: {
				channel.write([FrameKind.Heartbeat, 0, undefined]);

				break;
			}
		// No default
		}
	});

	endWhenIdle(socket);
}
