import process from 'node:process';
import {createControlReplica, type ControlReplicaOptions} from '@fescuestair/control';
import {createSystemClock, FindingsError} from '@fescuestair/core';
import {createEntry} from '@fescuestair/entry';
import {
	createLogger, createStatsdMetrics, reportCallerEvictions, type StatsdMetrics,
} from '@fescuestair/runtime';
import {
	createKeyRing, loadClusterKeys, parseAddress, processCallerBudget,
} from '@fescuestair/transport';
import {loadKeyRing, loadSecret} from './key-files.js';
import {Role, type DaemonSettings} from './daemon-settings.js';

/** `cut` is the number of requests that were still running at the deadline and were aborted. */
type RunningDaemon = {readonly stop: (deadlineMs: number) => Promise<{readonly cut: number}>};

/** Runs a daemon until SIGTERM or SIGINT, then exits the process: with 0 after a graceful stop, with 1 if requests were aborted. */
export async function runDaemon(settings: DaemonSettings): Promise<void> {
	const log = createLogger({instance: settings.name, level: settings.logLevel});
	const clock = createSystemClock();
	const keys = await createReloadableKeys(settings);
	const statsd = settings.statsd === undefined ? undefined : parseAddress(settings.statsd);
	const metrics = createStatsdMetrics({host: statsd?.host, port: statsd?.port ?? 0, instance: settings.name});

	const onFailure = (error: unknown) => {
		log.fatal('unrecoverable error, exiting', error);
		process.exit(1);
	};

	process.on('uncaughtException', onFailure);
	process.on('unhandledRejection', onFailure);
	processCallerBudget.setLimits({maxBytes: settings.maxCallerBytes, maxConnections: settings.maxCallerConnections});
	reportCallerEvictions(log);
	const commonOptions = {
		name: settings.name,
		incarnation: clock.readWallMs(),
		availabilityZone: settings.availabilityZone,
		peerListen: settings.peerListen,
		seeds: settings.seeds,
		getClusterKeys: keys.getClusterKeys,
		log,
		clock,
		onFailure,
	};
	const daemon = settings.role === Role.Control ? await startControlReplica(settings, commonOptions, keys) : await startEntry(settings, {...commonOptions, metrics}, keys);

	process.on('SIGHUP', async () => {
		try {
			await keys.reload();
			log.info('key files were read again');
		} catch (error) {
			// The daemon continues with the keys that it has.
			log.error('key files could not be read again; the current keys stay in use', error);
		}
	});

	let isStopping = false;

	const stop = async () => {
		if (isStopping) {
			log.warn('second signal while stopping, exiting at once');
			process.exit(1);
		}

		isStopping = true;
		log.info('stopping');
		const {cut} = await daemon.stop(clock.readMonotonicMs() + settings.stopTimeoutMs);
		log.info('stopped', {cut});
		metrics.close();
		process.exit(cut === 0 ? 0 : 1);
	};

	process.on('SIGTERM', stop);
	process.on('SIGINT', stop);
}

type ReloadableKeys = Awaited<ReturnType<typeof createReloadableKeys>>;
type CommonOptions = Pick<ControlReplicaOptions, 'name' | 'incarnation' | 'availabilityZone' | 'peerListen' | 'seeds' | 'getClusterKeys' | 'log' | 'clock' | 'onFailure'>;

async function startControlReplica(settings: DaemonSettings, commonOptions: CommonOptions, keys: ReloadableKeys): Promise<RunningDaemon> {
	const replica = await createControlReplica({
		...commonOptions,
		seeds: [...settings.seeds, ...settings.control],
		dataFolder: settings.dataFolder!,
		operatorListen: settings.operatorListen,
		getOperatorKeys: keys.getOperatorKeys,
		snapshotEvery: settings.snapshotEvery,
		orderKey: settings.orderKeyFile === undefined ? undefined : await loadSecret(settings.orderKeyFile),
	});

	return {
		async stop() {
			await replica.stop();

			return {cut: 0};
		},
	};
}

async function startEntry(settings: DaemonSettings, commonOptions: CommonOptions & {readonly metrics: StatsdMetrics}, keys: ReloadableKeys): Promise<RunningDaemon> {
	return createEntry({
		...commonOptions,
		listen: settings.listen,
		upstreamListen: settings.upstreamListen,
		controlSeeds: settings.control,
		getJoinKeys: keys.getJoinKeys,
		keepEntriesMs: settings.keepEntriesMs,
		upstreamLeaseMs: settings.upstreamLeaseMs,
		servesStale: settings.stalePolicy === 'serve',
	});
}

async function createReloadableKeys({clusterKeysFile, joinKeysFile, operatorKeysFile}: DaemonSettings) {
	const loadKeys = async () => {
		const results = await Promise.allSettled([
			loadClusterKeys(clusterKeysFile),
			joinKeysFile === undefined ? createKeyRing([]) : loadKeyRing(joinKeysFile),
			operatorKeysFile === undefined ? createKeyRing([]) : loadKeyRing(operatorKeysFile),
		]);
		const findings = results.flatMap(result => result.status === 'rejected' && result.reason instanceof FindingsError ? result.reason.findings : []);

		if (findings.length > 0) {
			throw new FindingsError(findings);
		}

		const [clusterKeys, joinKeys, operatorKeys] = results;

		if (clusterKeys.status === 'rejected' || joinKeys.status === 'rejected' || operatorKeys.status === 'rejected') {
			throw new Error('key files cannot be read');
		}

		return {clusterKeys: clusterKeys.value, joinKeys: joinKeys.value, operatorKeys: operatorKeys.value};
	};

	let current = await loadKeys();

	return {
		getClusterKeys: () => current.clusterKeys,
		getJoinKeys: () => current.joinKeys,
		getOperatorKeys: () => current.operatorKeys,
		async reload() {
			current = await loadKeys();
		},
	};
}
