import process from 'node:process';
import {Command} from 'commander';
import {UpstreamKind} from '@fescuestair/protocol';
import {announce} from './announcer.js';
import {createEngine} from './engine.js';
import {createEngineServer} from './engine-server.js';
import {createWeights} from './weights.js';
import {openStore, type ReadFault} from './store.js';
import {createStoreServer} from './store-server.js';
import {createServiceServer} from './service-server.js';

type Flags = {
	readonly kind: UpstreamKind;
	readonly id: string;
	readonly listen: string;
	readonly zone: string;
	readonly entries: string;
	readonly joinKey: string;
	readonly model: string;
	readonly weightVersion: string;
	readonly service: string;
	readonly journal: string;
	readonly prefillRate: string;
	readonly decodeMs: string;
	readonly slots: string;
	readonly cachePieces: string;
	readonly loadMs: string;
	readonly checksFencing?: boolean;
	readonly orderKey?: string;
	readonly pieceBytes: string;
	readonly maxEvents: string;
	readonly dataFolder: string;
	readonly memoryPieces: string;
	readonly diskPieces: string;
	readonly linkRate: string;
	readonly fault: ReadFault;
	readonly dieAtTransfer: string;
};

const program = new Command('standin')
	.requiredOption('--kind <kind>', 'engine, store or service')
	.requiredOption('--id <id>')
	.requiredOption('--listen <ip:port>')
	.requiredOption('--entries <ip:port,...>', 'upstream listeners of entries')
	.requiredOption('--join-key <key>')
	.option('--zone <zone>', 'availability zone', 'north')
	.option('--model <model>', 'model of an engine', 'assistant')
	.option('--weight-version <version>', 'weights of an engine', '1')
	.option('--service <service>', 'name of a service', 'work-orders')
	.option('--journal <file>', 'where a service notes bookings', '/dev/null')
	.option('--prefill-rate <tokens>', 'prompt tokens a second', '20000')
	.option('--decode-ms <ms>', 'time between tokens', '15')
	.option('--slots <count>', 'requests at once', '16')
	.option('--cache-pieces <count>', 'cached pieces', '200')
	.option('--piece-bytes <bytes>', 'size of a cached piece', '65536')
	.option('--max-events <count>', 'cache events that are kept', '10000')
	.option('--data-folder <folder>', 'disk tier of a store', '.data/store')
	.option('--memory-pieces <count>', 'pieces in the memory of a store', '1000')
	.option('--disk-pieces <count>', 'pieces on the disk of a store', '10000')
	.option('--link-rate <bytes>', 'bytes a second over the link of a store', '100000000')
	.option('--fault <fault>', 'what goes wrong while pieces are read: freed, torn or flipped', 'none')
	.option('--die-at-transfer <number>', 'a store ends in the middle of this transfer', '0')
	.option('--load-ms <ms>', 'time to load weights', '500')
	.option('--checks-fencing', 'refuses orders with an old fencing number')
	.option('--order-key <key>', 'refuses orders without this key');

program.parse();
const flags = program.opts<Flags>();
const [host = '127.0.0.1', port = '0'] = flags.listen.split(':');
const abort = new AbortController();
const base = {
	id: flags.id, incarnation: Date.now(), availabilityZone: flags.zone, kind: flags.kind,
};

async function startEngine(): Promise<() => Record<string, unknown>> {
	const engine = createEngine({
		prefillTokensPerSecond: Number(flags.prefillRate),
		decodeMs: Number(flags.decodeMs),
		slots: Number(flags.slots),
		cachePieces: Number(flags.cachePieces),
		pieceBytes: Number(flags.pieceBytes),
		maxEvents: Number(flags.maxEvents),
		onCrash() {
			process.exit(1);
		},
	});
	const weights = createWeights({
		initialVersion: flags.weightVersion,
		loadMs: Number(flags.loadMs),
		checksFencing: flags.checksFencing ?? false,
		orderKey: flags.orderKey,
		onLoaded: engine.clearCache,
	});
	const server = await createEngineServer({
		host, port: Number(port), engine, weights,
	});

	return () => ({
		...base,
		address: `${host}:${server.port}`,
		models: [flags.model],
		weightVersion: weights.getVersion(),
		checksFencing: flags.checksFencing ?? false,
		checksGiver: flags.orderKey !== undefined,
		prefillTokensPerSecond: Number(flags.prefillRate),
		kvBytesPerPiece: Number(flags.pieceBytes),
		load: engine.getLoad(),
	});
}

async function startService(): Promise<() => Record<string, unknown>> {
	const server = await createServiceServer({host, port: Number(port), journal: flags.journal});

	return () => ({...base, address: `${host}:${server.port}`, service: flags.service});
}

async function startStore(): Promise<() => Record<string, unknown>> {
	const store = await openStore({
		dataFolder: flags.dataFolder,
		memoryPieces: Number(flags.memoryPieces),
		diskPieces: Number(flags.diskPieces),
		fault: flags.fault,
		firstGeneration: base.incarnation,
	});
	const server = await createStoreServer({
		host,
		port: Number(port),
		store,
		linkBytesPerSecond: Number(flags.linkRate),
		dieAtTransfer: Number(flags.dieAtTransfer),
		onDie() {
			process.exit(1);
		},
	});

	return () => ({...base, address: `${host}:${server.port}`, linkBytesPerSecond: Number(flags.linkRate)});
}

const starters = {
	[UpstreamKind.Engine]: startEngine,
	[UpstreamKind.Store]: startStore,
	[UpstreamKind.Service]: startService,
};
const createMessage = await starters[flags.kind]();

for (const signal of ['SIGTERM', 'SIGINT'] as const) {
	process.on(signal, () => {
		abort.abort();
	});
}

await announce({
	entries: flags.entries.split(','), joinKey: flags.joinKey, id: flags.id, createMessage, signal: abort.signal,
});
process.exit(0);
