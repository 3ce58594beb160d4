
// Small HTTP clients.
import {Buffer} from 'node:buffer';
import http from 'node:http';
import net from 'node:net';

/** Sends one request on a connection of its own. Rejects without a whole answer. */
export async function call(address, {method = 'GET', path, headers = {}, body, timeoutMs = 5000}) {
	const [host, port] = address.split(':');

	return new Promise((resolve, reject) => {
		const request = http.request({
			host, port, method, path, headers, agent: false, signal: AbortSignal.timeout(timeoutMs),
		}, response => {
			const chunks = [];
			response.on('data', chunk => {
				chunks.push(chunk);
			});
			response.on('end', () => {
				resolve({
					status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks).toString('latin1'), isWhole: response.complete,
				});
			});
			response.on('error', reject);
		});
		request.on('error', reject);
		request.end(body);
	});
}

export async function callJson(address, {body, headers = {}, ...rest}) {
	const text = body === undefined ? undefined : JSON.stringify(body);

	return call(address, {
		...rest, body: text, headers: {connection: 'close', ...headers, ...(text !== undefined && {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)})},
	});
}

/** Sends bytes as they are and collects what comes back until the connection ends or the time is over. */
export async function sendRaw(address, bytes, {timeoutMs = 5000, isDone = () => false} = {}) {
	const [host, port] = address.split(':');

	return new Promise(resolve => {
		const socket = net.connect({host, port: Number(port)});
		let text = '';
		const finish = end => {
			clearTimeout(timer);
			socket.destroy();
			resolve({text, end});
		};

		const timer = setTimeout(finish, timeoutMs, 'timeout');
		socket.on('data', chunk => {
			text += chunk.toString('latin1');

			if (isDone(text)) {
				finish('done');
			}
		});
		socket.on('end', () => {
			finish('end');
		});
		socket.on('error', error => {
			finish(error.code);
		});
		socket.write(bytes);
	});
}
