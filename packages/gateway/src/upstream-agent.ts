import http, {type ClientRequest} from 'node:http';
import {type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';

type IdleSocket = {
	/** Closes the connection; attached as a listener while it is idle. */
	readonly destroy: () => void;
	/** Start of the idle period, on the monotonic clock. */
	readonly idleSinceMs: number;
};

const idleSockets = new WeakMap<Socket, IdleSocket>();

/** Share of the instance's own idle time-out after which a connection is closed here, so that no request is sent while the instance closes it. */
const idleTimeoutShare = 0.6;
/** Idle time-out for an instance that announces none. */
const defaultIdleTimeoutMs = 4000;

export type UpstreamAgentOptions = {
	readonly maxConnections: number;
};

/**
Connection pool of one instance. Node's own client is used, and not undici, because undici takes a reset for the end of a response that has
no length. Bytes that arrive on an idle connection belong to no request, so they close it.
*/
export class UpstreamAgent extends http.Agent {
	#idleTimeoutMs = defaultIdleTimeoutMs;
	#isRetired = false;

	constructor({maxConnections}: UpstreamAgentOptions) {
		super({
			keepAlive: true, maxSockets: maxConnections, maxFreeSockets: maxConnections, scheduling: 'lifo', noDelay: true,
		});
	}

	/** Sets the bound on open connections, which changes with the configuration and the number of gateways. */
	setMaxConnections(maxConnections: number): void {
		this.maxSockets = maxConnections;
		this.maxFreeSockets = maxConnections;
	}

	/** Sets the time for which the instance keeps idle connections. */
	setIdleTimeoutMs(idleMs: number): void {
		this.#idleTimeoutMs = idleMs * idleTimeoutShare;
	}

	/**
	Closes connections that have been idle for longer. Instances may drop idle connections without closing them, and a request sent on such a
	connection is lost; a request that may not be repeated must not run that risk.
	*/
	closeIdle(maxIdleMs: number): void {
		const nowMs = performance.now();

		for (const socket of Object.values(this.freeSockets).flatMap(sockets => sockets ?? [])) {
			if (nowMs - (idleSockets.get(socket)?.idleSinceMs ?? nowMs) > maxIdleMs) {
				socket.destroy();
			}
		}
	}

	/** Closes idle connections now, and each other one once its request has ended. */
	retire(): void {
		this.#isRetired = true;
		this.closeIdle(Number.NEGATIVE_INFINITY);
	}

	// Overrides of http.Agent: Node calls keepSocketAlive and reuseSocket.
	override keepSocketAlive(socket: Socket): boolean {
		const isKept = !this.#isRetired && (super.keepSocketAlive as (socket: Socket) => boolean).call(this, socket);

		if (isKept) {
			const destroy = () => {
				socket.destroy();
			};

			idleSockets.set(socket, {destroy, idleSinceMs: performance.now()});
			socket.on('data', destroy);
			socket.setTimeout(this.#idleTimeoutMs, destroy);
		}

		return isKept;
	}

	override reuseSocket(socket: Socket, request: ClientRequest): void {
		const destroy = idleSockets.get(socket)?.destroy;

		if (destroy !== undefined) {
			socket.off('data', destroy);
			socket.setTimeout(0);
			socket.off('timeout', destroy);
		}

		super.reuseSocket(socket, request);
	}
}
