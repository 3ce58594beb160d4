import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Command} from 'commander';
import {UpstreamKind} from '@fescuestair/protocol';
import {announce} from './announce.js';
import {createEngine} from './engine.js';
import {createEngineServer} from './engine-server.js';
import {defaultSoftwareVersion} from './response-text.js';
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
	readonly softwareVersion: string;
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
	readonly dieAtWrite: string;
	readonly dieAtRead: string;
	readonly requestLimit?: string;
	readonly announceAfterMs: string;
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
	.option('--journal <file>', 'file in which a service notes executed bookings', '/dev/null')
	.option('--prefill-rate <tokens>', 'prompt tokens prefilled per second', '20000')
	.option('--decode-ms <ms>', 'time between two tokens of a run', '15')
	.option('--slots <count>', 'concurrently running requests of an engine', '16')
	.option('--cache-pieces <count>', 'cached pieces that an engine can hold', '200')
	.option('--piece-bytes <bytes>', 'size of a cached piece', '65536')
	.option('--max-events <count>', 'cache events of an engine that are kept', '10000')
	.option('--data-folder <folder>', 'folder of the disk tier of a store', '.data/store')
	.option('--software-version <version>', 'version of its software that an engine announces', defaultSoftwareVersion)
	.option('--memory-pieces <count>', 'pieces in the memory of a store', '1000')
	.option('--disk-pieces <count>', 'pieces on the disk of a store', '10000')
	.option('--link-rate <bytes>', 'bandwidth of the link of a store, in bytes per second', '100000000')
	.option('--fault <fault>', 'fault injected while pieces are read from a store: freed (block overwritten), torn (data truncated) or flipped (bit error)', 'none')
	.option('--die-at-write <number>', 'number of the write of a piece during which a store exits; 0 for never', '0')
	.option('--die-at-read <number>', 'the same for reads', '0')
	.option('--announce-after-ms <ms>', 'time after its start in which it serves without having announced itself', '0')
	.option('--load-ms <ms>', 'time that an engine takes to load weights', '500')
	.option('--request-limit <number>', 'requests per second that an engine or a service names as its limit')
	.option('--checks-fencing', 'reject orders whose fencing token is not higher than the highest seen')
	.option('--order-key <key>', 'reject orders without this key');

program.parse();
const flags = program.opts<Flags>();
const [host = '127.0.0.1', port = '0'] = flags.listen.split(':');
const abort = new AbortController();
const commonFields = {
	id: flags.id, incarnation: Date.now(), availabilityZone: flags.zone, kind: flags.kind,
};

async function startEngine(): Promise<() => Record<string, unknown>> {
	const engine = createEngine({
		prefillTokensPerSecond: Number(flags.prefillRate),
		decodeIntervalMs: Number(flags.decodeMs),
		slots: Number(flags.slots),
		softwareVersion: flags.softwareVersion,
		maxCachedPieces: Number(flags.cachePieces),
		pieceBytes: Number(flags.pieceBytes),
		maxEvents: Number(flags.maxEvents),
		onCrash() {
			process.exit(1);
		},
	});
	const weights = createWeights({
		initialVersion: flags.weightVersion,
		loadDurationMs: Number(flags.loadMs),
		checksFencing: flags.checksFencing ?? false,
		orderKey: flags.orderKey,
		onLoaded: engine.clearCache,
	});
	const server = await createEngineServer({
		host, port: Number(port), engine, weights, softwareVersion: flags.softwareVersion, requestLimit: flags.requestLimit,
	});

	return () => ({
		...commonFields,
		address: `${host}:${server.port}`,
		models: [flags.model],
		weightVersion: weights.getVersion(),
		softwareVersion: flags.softwareVersion,
		checksFencing: flags.checksFencing ?? false,
		checksGiver: flags.orderKey !== undefined,
		prefillTokensPerSecond: Number(flags.prefillRate),
		kvBytesPerPiece: Number(flags.pieceBytes),
		load: engine.getLoad(),
	});
}

async function startService(): Promise<() => Record<string, unknown>> {
	const server = await createServiceServer({
		host, port: Number(port), journal: flags.journal, requestLimit: flags.requestLimit,
	});

	return () => ({...commonFields, address: `${host}:${server.port}`, service: flags.service});
}

async function startStore(): Promise<() => Record<string, unknown>> {
	const store = await openStore({
		dataFolder: flags.dataFolder,
		maxMemoryPieces: Number(flags.memoryPieces),
		maxDiskPieces: Number(flags.diskPieces),
		fault: flags.fault,
		firstGeneration: commonFields.incarnation,
	});
	const server = await createStoreServer({
		host,
		port: Number(port),
		store,
		linkBytesPerSecond: Number(flags.linkRate),
		exitAtWrite: Number(flags.dieAtWrite),
		exitAtRead: Number(flags.dieAtRead),
		exitProcess() {
			process.exit(1);
		},
	});

	return () => ({...commonFields, address: `${host}:${server.port}`, linkBytesPerSecond: Number(flags.linkRate)});
}

const startByKind = {
	[UpstreamKind.Engine]: startEngine,
	[UpstreamKind.Store]: startStore,
	[UpstreamKind.Service]: startService,
};
const createAnnouncement = await startByKind[flags.kind]();

for (const signal of ['SIGTERM', 'SIGINT'] as const) {
	process.on(signal, () => {
		abort.abort();
	});
}

await sleep(Number(flags.announceAfterMs));
await announce({
	entries: flags.entries.split(','), joinKey: flags.joinKey, id: flags.id, createAnnouncement, signal: abort.signal,
});
process.exit(0);
