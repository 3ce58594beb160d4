import net from 'node:net';
import {once} from 'node:events';
import process from 'node:process';

// Below the range that the operating system takes for outgoing connections, which else may take a port before its listener does.
const firstPort = 10_000;
const portCount = 20_000;
const portsPerProcess = 97;
let nextPort = process.pid * portsPerProcess;

async function findFreePort(): Promise<number> {
	for (;;) {
		const port = firstPort + (nextPort++ % portCount);

		if (await isFree(port)) {
			return port;
		}
	}
}

async function isFree(port: number): Promise<boolean> {
	const server = net.createServer();

	try {
		server.listen(port, '127.0.0.1');
		await once(server, 'listening');
		server.close();
		await once(server, 'close');

		return true;
	} catch {
		return false;
	}
}

/** Finds an address on this machine that nothing listens at. */
export async function findAddress(): Promise<string> {
	return `127.0.0.1:${await findFreePort()}`;
}
