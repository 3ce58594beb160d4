import process from 'node:process';
import {createControl, type ControlOptions} from '@fescuestair/control';
import {createSystemClock, FindingsError} from '@fescuestair/core';
import {createEntry} from '@fescuestair/entry';
import {createLog, createMetrics, type Metrics} from '@fescuestair/runtime';
import {createKeyRing, loadClusterKeys, parseAddress} from '@fescuestair/transport';
import {loadKeyRing, loadSecret} from './key-files.js';
import {Role, type DaemonSettings} from './daemon-settings.js';

type Running = {readonly stop: (deadlineMs: number) => Promise<{readonly cut: number}>};

/** Runs a daemon until it is told to stop, and ends the process. */
export async function runDaemon(settings: DaemonSettings): Promise<void> {
	const log = createLog({instance: settings.name, level: settings.logLevel});
	const clock = createSystemClock();
	const keys = await createKeyFiles(settings);
	const statsd = settings.statsd === undefined ? undefined : parseAddress(settings.statsd);
	const metrics = createMetrics({host: statsd?.host, port: statsd?.port ?? 0, instance: settings.name});

	const onFailure = (error: unknown) => {
		log.fatal('the process ends', error);
		process.exit(1);
	};

	process.on('uncaughtException', onFailure);
	process.on('unhandledRejection', onFailure);
	const shared = {
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
	const running = settings.role === Role.Control ? await startControl(settings, shared, keys) : await startEntry(settings, {...shared, metrics}, keys);

	process.on('SIGHUP', async () => {
		try {
			await keys.reload();
			log.info('keys were read again');
		} catch (error) {
			// The keys in use stay in use.
			log.error('keys were not read again', error);
		}
	});

	let isStopping = false;

	const stop = async () => {
		if (isStopping) {
			log.warn('second signal: stopping at once');
			process.exit(1);
		}

		isStopping = true;
		log.info('stopping');
		const {cut} = await running.stop(clock.readMonotonicMs() + settings.stopTimeoutMs);
		log.info('stopped', {cut});
		metrics.close();
		process.exit(cut === 0 ? 0 : 1);
	};

	process.on('SIGTERM', stop);
	process.on('SIGINT', stop);
}

type KeyFiles = Awaited<ReturnType<typeof createKeyFiles>>;
type Shared = Pick<ControlOptions, 'name' | 'incarnation' | 'availabilityZone' | 'peerListen' | 'seeds' | 'getClusterKeys' | 'log' | 'clock' | 'onFailure'>;

async function startControl(settings: DaemonSettings, shared: Shared, keys: KeyFiles): Promise<Running> {
	const control = await createControl({
		...shared,
		seeds: [...settings.seeds, ...settings.control],
		dataFolder: settings.dataFolder!,
		operatorListen: settings.operatorListen,
		getOperatorKeys: keys.getOperatorKeys,
		snapshotEvery: settings.snapshotEvery,
		orderKey: settings.orderKeyFile === undefined ? undefined : await loadSecret(settings.orderKeyFile),
	});

	return {
		async stop() {
			await control.stop();

			return {cut: 0};
		},
	};
}

async function startEntry(settings: DaemonSettings, shared: Shared & {readonly metrics: Metrics}, keys: KeyFiles): Promise<Running> {
	return createEntry({
		...shared,
		listen: settings.listen,
		upstreamListen: settings.upstreamListen,
		controlSeeds: settings.control,
		getJoinKeys: keys.getJoinKeys,
		keepEntriesMs: settings.keepEntriesMs,
		upstreamLeaseMs: settings.upstreamLeaseMs,
		servesStale: settings.stalePolicy === 'serve',
	});
}

async function createKeyFiles({clusterKeysFile, joinKeysFile, operatorKeysFile}: DaemonSettings) {
	const load = async () => {
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
			throw new Error('keys cannot be read');
		}

		return {clusterKeys: clusterKeys.value, joinKeys: joinKeys.value, operatorKeys: operatorKeys.value};
	};

	let current = await load();

	return {
		getClusterKeys: () => current.clusterKeys,
		getJoinKeys: () => current.joinKeys,
		getOperatorKeys: () => current.operatorKeys,
		async reload() {
			current = await load();
		},
	};
}
