import fs from 'node:fs/promises';
import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {headerNames} from '@fescuestair/protocol';
import {openHttpListener, readBody, sendJson} from '@fescuestair/transport';
import {createSilence, parseSilence} from './silence.js';

export type ServiceServerOptions = {
	readonly host: string;
	readonly port: number;
	/** File to which each executed booking appends its idempotency key. */
	readonly journal: string;
	/** Requests per second that it names as its limit in its responses; `undefined` for none. */
	readonly requestLimit: string | undefined;
};

const bodyLimits = {maxBytes: 1_000_000, timeoutMs: 10_000};

/**
Creates a plain service. POST records a booking, GET returns the number of bookings.

`?delayMs=` delays the response; `?tooLate=1` closes the connection without a response after the booking was recorded; `?cut=1` cuts a response that has neither a length nor chunks.
`POST /v1/silence?forMs=3500` makes it send nothing for that time, while bookings are accepted and recorded.
*/
export async function createServiceServer({host, port, journal, requestLimit}: ServiceServerOptions) {
	const bookings = new Map<string, number>();
	const silence = createSilence();

	const server = http.createServer(async (request, response) => {
		const {searchParams} = new URL(request.url ?? '/', 'http://service');
		const silentForMs = parseSilence(request.url);

		if (silentForMs !== undefined) {
			sendJson(response, 200, {silentForMs});
			silence.start(silentForMs);

			return;
		}

		await readBody(request, bodyLimits);

		if (requestLimit !== undefined) {
			response.setHeader(headerNames.requestLimit, requestLimit);
		}

		const waitForDelay = async () => {
			await sleep(Number(searchParams.get('delayMs') ?? 0));
			await silence.waitForEnd();
		};

		const key = String(request.headers[headerNames.idempotencyKey] ?? 'none');

		if (request.method === 'GET') {
			await waitForDelay();
			sendJson(response, 200, {bookings: bookings.size});

			return;
		}

		bookings.set(key, (bookings.get(key) ?? 0) + 1);
		await fs.appendFile(journal, `${key}\n`);
		await new Promise(resolve => {
			setTimeout(resolve, Number(searchParams.get('delayMs') ?? 0));
		});

		await silence.waitForEnd();

		if (searchParams.has('tooLate')) {
			response.destroy();
		} else if (searchParams.has('cut')) {
			response.socket!.end('HTTP/1.1 201 Created\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n{"booked":');
		} else {
			sendJson(response, 201, {booked: key, number: bookings.size});
		}
	});

	return openHttpListener(server, {host, port});
}
