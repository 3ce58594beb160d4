import net, {type Socket} from 'node:net';
import tls from 'node:tls';
import {once} from 'node:events';
import {
	FrameKind, InvalidFrameError, openFrameChannel, type FrameChannel,
} from './link-frames.js';
import {createLinkMonitor, type LinkMonitor} from './link-monitor.js';
import {linkCiphers, maxIncompleteFrameBytes} from './link-constants.js';
import {type Address} from './address.js';
import {processCallerBudget} from './caller-budget.js';
import {type ClusterKeys} from './cluster-keys.js';

/** Handles a message; `reply` is `undefined` for a one-way message. */
export type LinkHandler = (message: unknown, reply: ((answer: unknown) => void) | undefined) => void;

export type LinkServerOptions = {
	readonly listen: Address;
	/** Called at each handshake, so that keys can be rotated without a restart; `undefined` if links are not authenticated. */
	readonly getKeys: (() => ClusterKeys) | undefined;
	readonly onMessage: LinkHandler;
	/** Called when a link failed or its peer sent an invalid frame; `address` is that of the peer, if known. */
	readonly onError?: (error: Error, address: string | undefined) => void;
};

/** Replies that wait to be sent, beyond which a heartbeat is not answered. */
const maxBacklogOfHeartbeatBytes = 65_536;

export type LinkServer = {
	readonly port: number;
	readonly close: () => Promise<void>;
};

/**
Creates the listener for links from other processes of the system. If there are keys, both sides prove that they hold one of them.

@example
```
const server = await createLinkServer({listen, getKeys: () => keys, onMessage: (message, reply) => reply?.('pong')});
```
*/
export async function createLinkServer(options: LinkServerOptions): Promise<LinkServer> {
	const {listen, getKeys, onMessage, onError = () => undefined} = options;
	const monitor = createLinkMonitor();
	const server = getKeys === undefined ? net.createServer() : createTlsServer(getKeys);
	/** By the address of its peer, the connection below each link, which is counted and closed. */
	const acceptedByAddress = new Map<string, Socket>();

	server.on('connection', (socket: Socket) => {
		const address = formatPeerAddress(socket);
		acceptedByAddress.set(address, socket);
		socket.once('close', () => {
			acceptedByAddress.delete(address);
		});
		processCallerBudget.connections.add(socket);
	});
	server.on(getKeys === undefined ? 'connection' : 'secureConnection', (socket: Socket) => {
		const address = formatPeerAddress(socket);
		serveSocket(socket, {onMessage, monitor, accepted: acceptedByAddress.get(address) ?? socket});
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

			for (const socket of acceptedByAddress.values()) {
				socket.destroy();
			}

			await closed;
		},
	};
}

function createTlsServer(getKeys: () => ClusterKeys): tls.Server {
	return tls.createServer({
		ciphers: linkCiphers,
		maxVersion: 'TLSv1.2',
		pskCallback: (_socket, identity) => (getKeys().keys.get(identity) ?? null),
	});
}

function formatPeerAddress({remoteAddress, remotePort}: Socket): string {
	return `${remoteAddress}:${remotePort}`;
}

type ServeOptions = {
	readonly onMessage: LinkHandler;
	readonly monitor: LinkMonitor;
	/** The connection below the link. */
	readonly accepted: Socket;
};

function serveSocket(socket: Socket, {onMessage, monitor, accepted}: ServeOptions): void {
	socket.setNoDelay(true);
	const incomplete = processCallerBudget.open(() => {
		socket.destroy(new InvalidFrameError('there is no room for incomplete frames'));
	});
	socket.once('close', incomplete.release);
	const channel: FrameChannel = openFrameChannel(socket, {
		canBuffer: bytes => incomplete.resize(bytes) && monitor.sumIncompleteBytes() <= maxIncompleteFrameBytes,
		onFrame([kind, callId, body]) {
			incomplete.resize(0);
			// From its first frame on, it counts as in use.
			processCallerBudget.connections.markBusy(accepted);

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
					// What is still being sent shows the peer as well that this side lives.
					if (channel.getSendBacklogBytes() <= maxBacklogOfHeartbeatBytes) {
						channel.write([FrameKind.Heartbeat, 0, undefined]);
					}

					break;
				}

				// Only the side that opened the link makes calls, so the accepting side expects no replies and ignores them.
				case FrameKind.Reply: {
					break;
				}
			}
		},
	});
	monitor.watchServerSide(socket, channel);
}
