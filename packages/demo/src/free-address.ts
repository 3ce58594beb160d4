import net, {type Server} from 'node:net';
import {once} from 'node:events';
import process from 'node:process';

// Ports below the ephemeral range: the operating system could assign a port of that range to an outgoing connection before its listener binds it.
const firstPort = 10_000;
const blockCount = 40;
/** More than one test file uses for all its systems. */
const portsPerBlock = 500;

/** Ports that no other process takes, also while no listener of this process uses them, as during a restart. */
type PortBlock = {readonly firstPort: number; next: number};

let openedBlock: Promise<PortBlock> | undefined;

// A process holds a block for as long as it listens on its first port. Blocks are tried from one that depends on the process id.
async function openBlock(): Promise<PortBlock> {
	for (let attempt = 0; attempt < blockCount; attempt++) {
		const guardPort = firstPort + (((process.pid + attempt) % blockCount) * portsPerBlock);
		const guard = await tryListen(guardPort);

		if (guard !== undefined) {
			guard.unref();

			return {firstPort: guardPort + 1, next: 0};
		}
	}

	throw new Error(`all ${blockCount} blocks of ports from ${firstPort} on are taken`);
}

async function tryListen(port: number): Promise<Server | undefined> {
	const server = net.createServer();

	try {
		server.listen(port, '127.0.0.1');
		await once(server, 'listening');

		return server;
	} catch {
		return undefined;
	}
}

async function findFreePort(): Promise<number> {
	openedBlock ??= openBlock();
	const block = await openedBlock;

	for (;;) {
		const port = block.firstPort + (block.next++ % (portsPerBlock - 1));
		const server = await tryListen(port);

		if (server !== undefined) {
			server.close();
			await once(server, 'close');

			return port;
		}
	}
}

/** Finds a loopback address whose port is free, and that no other process finds. */
export async function findFreeAddress(): Promise<string> {
	return `127.0.0.1:${await findFreePort()}`;
}
