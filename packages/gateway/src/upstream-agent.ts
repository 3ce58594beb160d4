import http, {type ClientRequest} from 'node:http';
import {type Socket} from 'node:net';

/** What ends a connection while it is idle. */
const closeOnData = new WeakMap<Socket, () => void>();

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

	// Node calls these two by their names.
	override keepSocketAlive(socket: Socket): boolean {
		const isKept = (super.keepSocketAlive as (socket: Socket) => boolean).call(this, socket);

		if (isKept) {
			const destroy = () => {
				socket.destroy();
			};

			closeOnData.set(socket, destroy);
			socket.on('data', destroy);
			socket.setTimeout(this.#idleMs, destroy);
		}

		return isKept;
	}

	override reuseSocket(socket: Socket, request: ClientRequest): void {
		const destroy = closeOnData.get(socket);

		if (destroy !== undefined) {
			socket.off('data', destroy);
			socket.setTimeout(0);
			socket.off('timeout', destroy);
		}

		super.reuseSocket(socket, request);
	}
}
