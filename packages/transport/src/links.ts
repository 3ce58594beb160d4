import net, {type Socket} from 'node:net';
import tls from 'node:tls';
import {BaseError} from '@fescuestair/core';
import {FrameKind, openFrameChannel, type FrameChannel} from './link-frames.js';
import {createLinkWatch, type LinkWatch, type WatchedChannel} from './link-liveness.js';
import {linkCiphers, maxBacklogBytes} from './link-timing.js';
import {parseAddress} from './address.js';
import {type ClusterKeys} from './cluster-keys.js';

/** A call got no answer: its link was lost or its deadline passed. */
export class LinkLostError extends BaseError {
	constructor(address: string, reason: string) {
		super('link_lost', `${address}: ${reason}`);
	}
}

export type LinksOptions = {
	/** Absent where links carry no keys: whoever reaches the listener is trusted, which the network has to see to. */
	readonly getKeys: (() => ClusterKeys) | undefined;
};

/** Links to other processes, one for each address, opened when first needed and again after a loss. */
export type Links = {
	/** Sends without awaiting an answer; dropped while the link is down or backed up. */
	readonly send: (address: string, message: unknown) => void;
	/** Sends and awaits the answer. */
	readonly call: (address: string, message: unknown, timeoutMs: number) => Promise<unknown>;
	/** Bytes on the wire of the links opened from here, in both directions. */
	readonly countBytes: () => number;
	/** Links that are open from here. */
	readonly countOpen: () => number;
	readonly close: () => void;
};

type Waiting = {readonly resolve: (answer: unknown) => void; readonly reject: (error: Error) => void; readonly timer: NodeJS.Timeout};

type Link = {
	readonly socket: Socket;
	readonly channel: FrameChannel;
	readonly waiting: Map<number, Waiting>;
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
	const watch = createLinkWatch();
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
			watch,
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

			if (channel.getBacklogBytes() < maxBacklogBytes) {
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

type OpenOptions = {
	readonly keys: ClusterKeys | undefined;
	readonly watch: LinkWatch;
	readonly onClose: (socket: Socket) => void;
};

function openLink(address: string, {keys, watch, onClose}: OpenOptions): Link {
	const socket = keys === undefined ? net.connect(parseAddress(address)) : connectSecurely(address, keys);
	const waiting = new Map<number, Waiting>();
	socket.setNoDelay(true);

	const channel: WatchedChannel = watch.watchOpener(socket, openFrameChannel(socket, {
		onFrame([kind, callId, body]) {
			channel.noteReceived();
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

function connectSecurely(address: string, keys: ClusterKeys): Socket {
	return tls.connect({
		...parseAddress(address),
		ciphers: linkCiphers,
		maxVersion: 'TLSv1.2',
		pskCallback: () => ({psk: keys.keys.get(keys.currentId)!, identity: keys.currentId}),
		// The pre-shared key proves the other side; there is no certificate.
		checkServerIdentity: () => undefined,
	});
}

// The counters of a TLS socket are those of the bytes on the wire.
function countSocketBytes(socket: Socket): number {
	return socket.bytesRead + socket.bytesWritten;
}
