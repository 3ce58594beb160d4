import {type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {type PieceManifest} from '@fescuestair/kv';
import {readBody, sendJson} from '@fescuestair/transport';
import {openServer} from './open-server.js';
import {readJson} from './read-json.js';
import {type Store} from './store.js';

export type StoreServerOptions = {
	readonly host: string;
	readonly port: number;
	readonly store: Store;
	/** Bandwidth of the simulated link, on which transfers are queued one after another. */
	readonly linkBytesPerSecond: number;
	/** Number of the write, counted from 1, during which the process exits; 0 for never. */
	readonly exitAtWrite: number;
	/** The same for reads. */
	readonly exitAtRead: number;
	readonly exitProcess: () => void;
};

const bodyLimits = {maxBytes: 64_000_000, timeoutMs: 30_000};

/** Creates the store's HTTP server: writes, commits, looks up and reads pieces, serves cache events. */
export async function createStoreServer(options: StoreServerOptions) {
	const {
		host, port, store, linkBytesPerSecond, exitAtWrite, exitAtRead, exitProcess,
	} = options;
	let linkFreeAtMs = 0;
	let writeCount = 0;
	let readCount = 0;
	let movedBytes = 0;

	const simulateTransfer = async (bytes: number) => {
		const nowMs = performance.now();
		linkFreeAtMs = Math.max(nowMs, linkFreeAtMs) + (bytes / linkBytesPerSecond * 1000);
		movedBytes += bytes;
		await sleep(linkFreeAtMs - nowMs);
	};

	const handleRequest = async (request: IncomingMessage, response: ServerResponse) => {
		const {pathname, searchParams} = new URL(request.url ?? '/', 'http://store');
		const route = `${request.method ?? ''} ${pathname}`;
		const hash = /^\/v1\/kv\/(?<hash>[0-9a-f]{16,64})$/v.exec(pathname)?.groups?.hash;

		switch (route) {
			case 'POST /v1/kv/lookup': {
				const {hashes} = await readJson(request) as {readonly hashes: readonly string[]};
				sendJson(response, 200, {pieces: store.findManifests(hashes)});

				break;
			}

			case 'POST /v1/kv/manifests': {
				const {pieces} = await readJson(request) as {readonly pieces: readonly PieceManifest[]};
				sendJson(response, 200, {pieces: await store.commit(pieces)});

				break;
			}

			case 'GET /v1/cache-events': {
				sendJson(response, 200, store.log.read(Number(searchParams.get('after') ?? 0)));

				break;
			}

			case 'GET /v1/cache-snapshot': {
				sendJson(response, 200, store.log.createSnapshot(store.listPieces().map(piece => ({hash: piece.hash, root: piece.root}))));

				break;
			}

			case 'GET /v1/stats': {
				sendJson(response, 200, {movedBytes, pieces: store.listPieces().length});

				break;
			}

			default: {
				if (hash !== undefined && request.method === 'PUT') {
					const bytes = await readBody(request, bodyLimits);
					writeCount++;

					if (writeCount === exitAtWrite) {
						exitProcess();
					}

					await simulateTransfer(bytes.length);
					const generation = store.put({hash, root: searchParams.get('root') ?? hash}, bytes);
					sendJson(response, generation === undefined ? 507 : 200, {generation});
				} else if (hash !== undefined && request.method === 'GET') {
					const bytes = await store.read(hash, Number(searchParams.get('generation')));

					if (bytes === undefined) {
						sendJson(response, 404, {code: 'no_such_generation'});
					} else {
						readCount++;

						if (readCount === exitAtRead) {
							exitProcess();
						}

						await simulateTransfer(bytes.length);
						response.end(bytes);
					}
				} else {
					sendJson(response, 404, {code: 'not_found'});
				}
			}
		}
	};

	return openServer({host, port}, handleRequest);
}
