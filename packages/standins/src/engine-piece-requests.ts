import {type IncomingMessage, type ServerResponse} from 'node:http';
import {sendJson} from '@fescuestair/transport';
import {type Engine} from './engine.js';
import {readJson} from './read-json.js';

type ExportRequest = {readonly storeAddress: string; readonly hashes: readonly string[]};

type ImportRequest = {
	readonly importId: string;
	readonly storeAddress: string;
	readonly pieces: ReadonlyArray<{readonly hash: string; readonly generation: number}>;
};

/** Handles requests about cached pieces (export, import, events, snapshot). Returns `false` if the request is none of these. */
export async function handlePieceRequest(engine: Engine, request: IncomingMessage, response: ServerResponse): Promise<boolean> {
	const {pathname, searchParams} = new URL(request.url ?? '/', 'http://engine');

	switch (`${request.method ?? ''} ${pathname}`) {
		case 'POST /v1/kv/exports': {
			const {storeAddress, hashes} = await readJson(request) as ExportRequest;
			sendJson(response, 200, await engine.transfers.exportPieces(storeAddress, hashes));

			return true;
		}

		case 'POST /v1/kv/imports': {
			const {importId, storeAddress, pieces} = await readJson(request) as ImportRequest;
			sendJson(response, 200, {pieces: await engine.transfers.importPieces(importId, storeAddress, pieces)});

			return true;
		}

		case 'GET /v1/cache-events': {
			sendJson(response, 200, engine.cache.log.read(Number(searchParams.get('after') ?? 0)));

			return true;
		}

		case 'GET /v1/cache-snapshot': {
			sendJson(response, 200, engine.cache.createSnapshot());

			return true;
		}

		default: {
			return false;
		}
	}
}
