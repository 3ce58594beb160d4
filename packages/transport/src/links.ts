import net, {type Socket} from 'node:net';
import tls from 'node:tls';
import {BaseError} from '@fescuestair/core';
import {FrameKind, openFrameChannel, type FrameChannel} from './link-frames.js';
import {createLinkMonitor, type LinkMonitor, type MonitoredChannel} from './link-monitor.js';
import {linkCiphers, maxSendBacklogBytes} from './link-constants.js';
import {parseAddress} from './address.js';
import {type ClusterKeys} from './cluster-keys.js';

/** A call got no answer: its link was lost or closed, or its deadline passed. */
export class LinkLostError extends BaseError {
	constructor(address: string, reason: string) {
		super('link_lost', `${address}: ${reason}`);
	}
}

export type LinksOptions = {
	/** `undefined` if links are not authenticated; the network then has to restrict who can reach the listener. */
	readonly getKeys: (() => ClusterKeys) | undefined;
};

/** Links to other processes, one for each address; opened on first use and reopened after a loss. */
export type Links = {
	/** Sends a one-way message; it is dropped if the link is lost or its send backlog is full. */
	readonly send: (address: string, message: unknown) => void;
	/** Sends a message and waits for the answer. */
	readonly call: (address: string, message: unknown, timeoutMs: number) => Promise<unknown>;
	/** Bytes sent and received on the wire by links that this process has opened. */
	readonly countBytes: () => number;
	/** Number of open links that this process has opened. */
	readonly countOpen: () => number;
	readonly close: () => void;
};

type PendingCall = {readonly resolve: (answer: unknown) => void; readonly reject: (error: Error) => void; readonly timer: NodeJS.Timeout};

type Link = {
	readonly socket: Socket;
	readonly channel: FrameChannel;
	/** Calls without an answer yet, by call id. */
	readonly waiting: Map<number, PendingCall>;
};

/**
Creates the links of a process.

@example
```
const links = createLinks({getKeys: () => keys});
const answer = await links.call('10.0.0.1:7200', {kind: 'ping'}, 1000);
```
*/
export function createLinks({getKeys}: LinksOptions): Links {
	const links = new Map<string, Link>();
	const monitor = createLinkMonitor();
	let nextCallId = 1;
	let closedBytes = 0;
	let isClosed = false;

	const getLink = (address: string): Link => {
		const existing = links.get(address);

		if (existing !== undefined) {
			return existing;
		}

		const link = openLink(address, {
			keys: getKeys?.(),
			monitor,
			onClose(socket) {
				closedBytes += countSocketBytes(socket);
				links.delete(address);
			},
		});
		links.set(address, link);

		return link;
	};

	return {
		send(address, message) {
			if (isClosed) {
				return;
			}

			const {channel} = getLink(address);

			if (channel.getSendBacklogBytes() < maxSendBacklogBytes) {
				channel.write([FrameKind.OneWay, 0, message]);
			}
		},
		async call(address, message, timeoutMs) {
			if (isClosed) {
				throw new LinkLostError(address, 'links are closed');
			}

			const link = getLink(address);
			const callId = nextCallId++;

			return new Promise((resolve, reject) => {
				const timer = setTimeout(() => {
					link.waiting.delete(callId);
					reject(new LinkLostError(address, `no answer within ${timeoutMs} ms`));
				}, timeoutMs);
				link.waiting.set(callId, {resolve, reject, timer});
				link.channel.write([FrameKind.Call, callId, message]);
			});
		},
		countBytes() {
			let bytes = closedBytes;

			for (const link of links.values()) {
				bytes += countSocketBytes(link.socket);
			}

			return bytes;
		},
		countOpen: () => links.size,
		close() {
			isClosed = true;

			for (const link of links.values()) {
				link.socket.destroy();
			}
		},
	};
}

type OpenLinkOptions = {
	readonly keys: ClusterKeys | undefined;
	readonly monitor: LinkMonitor;
	readonly onClose: (socket: Socket) => void;
};

function openLink(address: string, {keys, monitor, onClose}: OpenLinkOptions): Link {
	const socket = keys === undefined ? net.connect(parseAddress(address)) : connectTls(address, keys);
	const waiting = new Map<number, PendingCall>();
	socket.setNoDelay(true);

	const channel: MonitoredChannel = monitor.watchClientSide(socket, openFrameChannel(socket, {
		onFrame([kind, callId, body]) {
			channel.recordReceived();
			const call = kind === FrameKind.Reply ? waiting.get(callId) : undefined;

			if (call !== undefined) {
				waiting.delete(callId);
				clearTimeout(call.timer);
				call.resolve(body);
			}
		},
	}));
	let reason = 'closed';

	socket.on('error', (error: Error) => {
		reason = error.message;
	});
	socket.on('close', () => {
		onClose(socket);

		for (const call of waiting.values()) {
			clearTimeout(call.timer);
			call.reject(new LinkLostError(address, reason));
		}

		waiting.clear();
	});

	return {socket, channel, waiting};
}

function connectTls(address: string, keys: ClusterKeys): Socket {
	return tls.connect({
		...parseAddress(address),
		ciphers: linkCiphers,
		maxVersion: 'TLSv1.2',
		pskCallback: () => ({psk: keys.keys.get(keys.currentId)!, identity: keys.currentId}),
		// The pre-shared key authenticates the peer; there is no certificate.
		checkServerIdentity: () => undefined,
	});
}

// A TLS socket counts the encrypted bytes on the wire.
function countSocketBytes(socket: Socket): number {
	return socket.bytesRead + socket.bytesWritten;
}
