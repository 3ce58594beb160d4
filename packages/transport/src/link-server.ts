import net, {type Socket} from 'node:net';
import tls from 'node:tls';
import {once} from 'node:events';
import {FrameKind, openFrameChannel, type FrameChannel} from './link-frames.js';
import {createLinkWatch, type LinkWatch} from './link-liveness.js';
import {linkCiphers, maxIncompleteBytes} from './link-timing.js';
import {type Address} from './address.js';
import {type ClusterKeys} from './cluster-keys.js';

/** Handles a message; `reply` is absent where no answer is awaited. */
export type LinkHandler = (message: unknown, reply: ((answer: unknown) => void) | undefined) => void;

export type LinkServerOptions = {
	readonly listen: Address;
	/** Read at each handshake, so that keys can be rotated without a stop. */
	readonly getKeys: (() => ClusterKeys) | undefined;
	readonly onMessage: LinkHandler;
	/** A link failed, or its peer broke the rules of links; `address` is that of the peer, where it is known. */
	readonly onError?: (error: Error, address: string | undefined) => void;
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
	const watch = createLinkWatch();
	const server = getKeys === undefined ? net.createServer() : createSecureServer(getKeys);

	server.on(getKeys === undefined ? 'connection' : 'secureConnection', (socket: Socket) => {
		const address = `${socket.remoteAddress}:${socket.remotePort}`;
		sockets.add(socket);
		serveSocket(socket, {onMessage, watch});
		socket.on('close', () => {
			sockets.delete(socket);
		});
		socket.on('error', error => {
			onError(error, address);
		});
	});
	server.on('tlsClientError', (error: Error) => {
		onError(error, undefined);
	});
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

function serveSocket(socket: Socket, {onMessage, watch}: {readonly onMessage: LinkHandler; readonly watch: LinkWatch}): void {
	socket.setNoDelay(true);
	const channel: FrameChannel = openFrameChannel(socket, {
		canHold: () => watch.sumIncompleteBytes() <= maxIncompleteBytes,
		onFrame([kind, callId, body]) {
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

				// A reply belongs to the side that calls.
				case FrameKind.Reply: {
					break;
				}
			}
		},
	});
	watch.watchAcceptor(socket, channel);
}
