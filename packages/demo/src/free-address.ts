import net from 'node:net';
import {once} from 'node:events';
import process from 'node:process';

// Ports below the ephemeral range: the operating system could assign a port of that range to an outgoing connection before its listener binds it.
const firstPort = 10_000;
const portCount = 20_000;
// Processes with different ids begin their search at different ports.
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

/** Finds a loopback address whose port is free. */
export async function findFreeAddress(): Promise<string> {
	return `127.0.0.1:${await findFreePort()}`;
}
