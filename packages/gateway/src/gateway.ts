import http, {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	createSystemClock, isFlag, isRecordOf, type Clock,
} from '@fescuestair/core';
import {
	DaemonRole, isInstanceNotes, isLoadNote, isPublished, type DaemonCard, type Published,
} from '@fescuestair/instances';
import {
	createRetryBudget, depositSuccess, isSuspectNotes, type RetryBudget,
} from '@fescuestair/limits';
import {createLinkCommands, isName, LinkKind} from '@fescuestair/protocol';
import {createChooser, PlacementPolicy} from '@fescuestair/routing';
import {
	createFaultLog, openCommandListener, registerLinkMetrics, type Log, type ServedMetrics,
} from '@fescuestair/runtime';
import {
	buildRouteTable, type RouteTable, type TrafficConfig,
} from '@fescuestair/traffic';
import {
	createLinks, openHttpListener, parseAddress,
} from '@fescuestair/transport';
import {type CallerCodec, type UpstreamCodec} from './codecs.js';
import {createCallerAnswerer} from './answer-caller.js';
import {createCoordinatorClient} from './coordinator-client.js';
import {createCrashWatch} from './crash-watch.js';
import {type ForwardOptions} from './forward-options.js';
import {createInstanceBook} from './instance-book.js';
import {createNamedWeights, judgeWeights, nameWeights} from './named-weights.js';
import {createLoadShare} from './load-share.js';
import {createPartsClient} from './parts-client.js';

export type GatewayOptions = {
	readonly name: string;
	readonly availabilityZone: string;
	readonly linkAddress: string;
	/** Where callers connect. */
	readonly listen: string;
	/** Link addresses of some coordinators. */
	readonly getSeeds: () => readonly string[];
	/** Decodes a configuration that the coordinators accepted. */
	readonly decodeConfig: (text: string) => TrafficConfig;
	readonly callerCodec: CallerCodec;
	readonly upstreamCodec: UpstreamCodec;
	readonly repeats: RepeatShare;
	/** How instances are chosen; other ways than the usual one are there to measure against. */
	readonly placement?: PlacementPolicy;
	/** Requests may begin on older weights for this long after newer ones were named. */
	readonly oldWeightsMs: number;
	/** By when a stop ends, whatever still runs. */
	readonly stopTimeoutMs: number;
	readonly clock?: Clock;
	readonly log: Log;
	readonly metrics: ServedMetrics;
};

/** Repeats that the whole system may make for one service. */
export type RepeatShare = {
	/** For each request of a caller. */
	readonly perRequest: number;
	/** Besides, within the span that the system is judged by. */
	readonly slack: number;
};

export type Gateway = {
	readonly isReady: () => boolean;
	/** Finishes what runs and takes no new callers. */
	readonly stop: () => Promise<void>;
};

/** Part of the system's budget of repeats that is used, so that requests counted late do not overdraw it. */
const usedBudgetShare = 0.75;
/** Part of an instance's connections that all gateways use together. */
const usedConnectionShare = 0.8;
const leastConnections = 4;
/** A stopping gateway serves new requests for this long; later ones might not end in time and are sent elsewhere. */
const lastAdmissionMs = 2500;
/** Callers keep an old list of addresses for a while: a stopping gateway serves them until no request came for this long. */
const quietMs = 1500;
const drainPollMs = 50;
/** Header bytes are counted against the configuration; this only bounds what the parser takes. */
const maxParsedHeaderBytes = 65_536;

/**
Creates a gateway: it serves callers by the newest configuration, and forwards to instances.

@example
```
const gateway = await createGateway({name: 'front-1', listen: '10.1.0.40:8005', ...rest});
await gateway.stop();
```
*/
export async function createGateway(options: GatewayOptions): Promise<Gateway> {
	const {
		name, availabilityZone, linkAddress, listen, getSeeds, decodeConfig, callerCodec, upstreamCodec, repeats, stopTimeoutMs, oldWeightsMs,
		placement = PlacementPolicy.LeastCost,
		clock = createSystemClock(), log, metrics,
	} = options;
	const links = createLinks({getKeys: undefined});
	const incarnation = clock.readWallMs();
	let table: RouteTable | undefined;
	let weights = createNamedWeights();
	let isLeaving = false;
	let wasReady = false;
	let cardSequence = 0;
	let admissionDeadlineMs = Number.POSITIVE_INFINITY;
	const running = new Set<ServerResponse>();
	let lastRequestAtMs = 0;
	const budgets = new Map<string, RetryBudget>();

	const countGateways = () => client.countGateways();

	const book = createInstanceBook({
		clock,
		log,
		metrics,
		getMaxConnections(service) {
			const most = table?.services.get(service)?.maxConnections ?? leastConnections;

			return Math.max(leastConnections, Math.floor(most * usedConnectionShare / countGateways()));
		},
		onWork(workMs) {
			loadShare.noteWork(workMs);
		},
		onLeaving(record) {
			client.reportLeaving(record);
		},
	});

	const onPublished = (published: Published) => {
		weights = nameWeights(weights, published.weights, clock.readMonotonicMs());

		if (published.configText !== undefined) {
			table = buildRouteTable(decodeConfig(published.configText));
			server.headersTimeout = table.config.limits.headerTimeoutMs;
			server.keepAliveTimeout = table.config.limits.idleTimeoutMs;
			book.applyLimits();
		}

		log.info('configuration in force', {version: published.configVersion, revision: published.revision, weights: published.weights});
	};

	const isReady = () => !isLeaving && table !== undefined && client.isCurrent();

	const loadShare = createLoadShare({
		linkAddress, links, clock, book, getHome: () => client.getHome(),
	});

	const parts = createPartsClient({
		getHome: () => client.getHome(), links, clock, log,
	});

	const getCard = (): DaemonCard => {
		const isReadyNow = isReady();

		if (isReadyNow !== wasReady) {
			wasReady = isReadyNow;
			cardSequence++;
		}

		return {
			name, role: DaemonRole.Gateway, incarnation, linkAddress, serviceAddress: listen, availabilityZone, isReady: isReadyNow, sequence: cardSequence,
		};
	};

	const crashes = createCrashWatch({
		linkAddress, links, clock, log, getHome: () => client.getHome(),
	});

	const forwardOptions: ForwardOptions = {
		clock,
		availabilityZone,
		callerCodec,
		upstreamCodec,
		book,
		chooseInstance: createChooser(placement),
		parts,
		crashes,
		getTable: () => table!,
		judgeWeights: (model, version, startMs) => judgeWeights(weights, {
			model, version, nowMs: clock.readMonotonicMs(), oldWeightsMs, startMs,
		}),
		budgets,
		createBudget: () => createRetryBudget({
			capacity: Math.max(1, repeats.slack * usedBudgetShare / countGateways()), sharePerSuccess: repeats.perRequest * usedBudgetShare,
		}),
		isLeaving: () => isLeaving,
		waiting: new Map(),
		countGateways,
	};

	const depositRequest = (service: string) => {
		budgets.set(service, depositSuccess(budgets.get(service) ?? forwardOptions.createBudget(service)));
	};

	const serve = createCallerAnswerer({
		forwardOptions, callerCodec, clock, log, metrics, depositRequest, getTable: () => table, isStopping: () => clock.readMonotonicMs() >= admissionDeadlineMs,
	});

	const server = http.createServer({maxHeaderSize: maxParsedHeaderBytes, requestTimeout: 0, keepAlive: true});
	server.on('request', (request, response) => {
		running.add(response);
		lastRequestAtMs = clock.readMonotonicMs();
		response.once('close', () => {
			running.delete(response);
		});
		serve(request, response).catch((error: unknown) => {
			log.error('a request ended by a defect', {reason: error instanceof Error ? error.stack : String(error)});
			response.destroy();
		});
	});
	server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
		if (error.code === 'ECONNRESET' || !socket.writable) {
			socket.destroy();

			return;
		}

		log.info('no proper request', {reason: error.code ?? error.message});
		socket.end(`HTTP/1.1 ${error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request'}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`);
	});

	metrics.registerGauge('config_version', 'Version of the configuration in force', () => table?.config.version ?? 0);
	metrics.registerGauge('requests_running', 'Requests that have no final answer yet', () => running.size);
	metrics.registerGauge('requests_waiting', 'Requests that wait here for a free instance', () => forwardOptions.waiting.size);
	metrics.registerGauge('gateways_known', 'Gateways that coordinators heard lately', countGateways);
	metrics.registerGauge('parts_known', 'Stored parts that requests may fetch', () => parts.getView().places.size);

	const client = createCoordinatorClient({
		getCard, getSeeds, links, clock, log, onPublished,
		onInstances(registry) {
			book.applyRegistry(registry);
			crashes.noteRegistry(registry);
			book.applyLimits();
		},
		onRound(nowMs) {
			loadShare.tidy(nowMs);
		},
		onHome(home, before) {
			if (before !== undefined) {
				loadShare.leaveHome(before);
			}

			parts.followHome(home);
		},
	});
	const commands = createLinkCommands({
		onFault: createFaultLog({log, clock, count: metrics.count}),
	});
	commands.registerCommand(LinkKind.Loads, isRecordOf({from: isName, loads: isLoadNote, isRelayed: isFlag}), ({from, loads}) => {
		loadShare.take(from, loads);

		return true;
	});
	commands.registerCommand(LinkKind.Suspects, isRecordOf({from: isName, notes: isSuspectNotes, isRelayed: isFlag}), ({notes}) => {
		crashes.take(notes);

		return true;
	});
	commands.registerCommand(LinkKind.Published, isRecordOf({published: isPublished}), ({published}) => {
		client.takePublished(published);

		return true;
	});
	commands.registerCommand(LinkKind.Instances, isRecordOf({notes: isInstanceNotes, isRelayed: isFlag}), ({notes}) => {
		client.takeNotes(notes);

		return true;
	});
	registerLinkMetrics(metrics, {links, commands});
	const linkServer = await openCommandListener({
		listen: linkAddress, getKeys: undefined, commands, log,
	});
	await openHttpListener(server, parseAddress(listen));
	log.info('gateway started', {...getCard()});

	return {
		isReady,
		async stop() {
			const deadlineMs = clock.readMonotonicMs() + stopTimeoutMs;
			isLeaving = true;
			admissionDeadlineMs = clock.readMonotonicMs() + lastAdmissionMs;
			lastRequestAtMs = Math.max(lastRequestAtMs, clock.readMonotonicMs());
			client.sayHelloToAll();
			log.info('gateway leaves', {running: running.size});

			while (clock.readMonotonicMs() < deadlineMs && (running.size > 0 || clock.readMonotonicMs() - lastRequestAtMs < quietMs)) {
				await sleep(drainPollMs);
			}

			client.stop();
			parts.stop();
			loadShare.stop();
			crashes.stop();
			server.close();
			server.closeAllConnections();
			book.stop();
			await linkServer.close();
			links.close();
			log.info('gateway stopped', {running: running.size});
		},
	};
}
