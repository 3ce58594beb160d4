import http, {type ClientRequest} from 'node:http';
import {type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';

type Rest = {
	/** What ends a connection while it is idle. */
	readonly destroy: () => void;
	/** Since when it has been idle, on the monotonic clock. */
	readonly sinceMs: number;
};

const rests = new WeakMap<Socket, Rest>();

/** Part of the instance's own idle timeout after which a connection is used no more, so that a request does not cross its close. */
const idleShare = 0.6;
/** Idle connections of an instance that names no timeout are used this long. */
const defaultIdleMs = 4000;

export type UpstreamAgentOptions = {
	readonly maxConnections: number;
};

/**
Connections to one instance. Node's own client is used, and not undici, because undici takes a reset for the end of an answer that has
no length. Bytes that come while nothing is asked belong to no request: they end the connection.
*/
export class UpstreamAgent extends http.Agent {
	#idleMs = defaultIdleMs;

	constructor({maxConnections}: UpstreamAgentOptions) {
		super({
			keepAlive: true, maxSockets: maxConnections, maxFreeSockets: maxConnections, scheduling: 'lifo', noDelay: true,
		});
	}

	/** Sets how many connections may be open; the bound changes with the configuration and the number of gateways. */
	setMaxConnections(maxConnections: number): void {
		this.maxSockets = maxConnections;
		this.maxFreeSockets = maxConnections;
	}

	/** Notes how long the instance keeps idle connections. */
	noteIdleMs(idleMs: number): void {
		this.#idleMs = idleMs * idleShare;
	}

	/**
	Closes connections that have been idle for longer. Instances forget idle connections without a word, and what is sent on one is lost: a
	request that may not be sent again must not take that chance.
	*/
	closeRested(longestRestMs: number): void {
		const nowMs = performance.now();

		for (const socket of Object.values(this.freeSockets).flatMap(sockets => sockets ?? [])) {
			if (nowMs - (rests.get(socket)?.sinceMs ?? nowMs) > longestRestMs) {
				socket.destroy();
			}
		}
	}

	// Node calls these two by their names.
	override keepSocketAlive(socket: Socket): boolean {
		const isKept = (super.keepSocketAlive as (socket: Socket) => boolean).call(this, socket);

		if (isKept) {
			const destroy = () => {
				socket.destroy();
			};

			rests.set(socket, {destroy, sinceMs: performance.now()});
			socket.on('data', destroy);
			socket.setTimeout(this.#idleMs, destroy);
		}

		return isKept;
	}

	override reuseSocket(socket: Socket, request: ClientRequest): void {
		const destroy = rests.get(socket)?.destroy;

		if (destroy !== undefined) {
			socket.off('data', destroy);
			socket.setTimeout(0);
			socket.off('timeout', destroy);
		}

		super.reuseSocket(socket, request);
	}
}
