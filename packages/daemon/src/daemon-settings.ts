import {z} from 'zod';
import {createFinding, FindingsError} from '@fescuestair/core';
import {
	defineSetting, readSettings, type SettingDefinition,
} from '@fescuestair/protocol';
import {parseAddress} from '@fescuestair/transport';

export enum Role {
	Entry = 'entry',
	Control = 'control',
}

export type DaemonSettings = {
	readonly role: Role;
	readonly name: string;
	readonly availabilityZone: string;
	readonly listen: string;
	readonly upstreamListen: string;
	readonly peerListen: string;
	readonly operatorListen: string;
	readonly seeds: readonly string[];
	readonly control: readonly string[];
	readonly dataFolder: string | undefined;
	readonly clusterKeysFile: string;
	readonly joinKeysFile: string | undefined;
	readonly operatorKeysFile: string | undefined;
	readonly keepEntriesMs: number;
	readonly upstreamLeaseMs: number;
	readonly stopTimeoutMs: number;
	readonly stalePolicy: 'refuse' | 'serve';
	readonly statsd: string | undefined;
	readonly logLevel: number;
	readonly snapshotEvery: number;
	readonly orderKeyFile: string | undefined;
	readonly maxCallerBytes: number;
	readonly maxCallerConnections: number;
};

const addressSchema = z.string('is missing').refine(text => isAddress(text), 'must be an IP address and a port, such as 127.0.0.1:7000');
const listSchema = z.string().transform(text => text.split(',').filter(part => part !== '')).pipe(z.array(addressSchema));
const nameSchema = z.string('is missing').regex(/^[a-z0-9][a-z0-9._\-]{0,62}$/v, 'must be 1 to 63 of a-z, 0-9, dot, dash and underscore');
const optionalPathSchema = z.string().min(1).optional();
const msSchema = z.coerce.number('must be a number of milliseconds').int().positive();

/** All settings of the daemon. Each can be given as a flag or as an environment variable. */
export const settingDefinitions: readonly SettingDefinition[] = [
	defineSetting('role', {description: 'entry or control', schema: z.enum(Role, 'must be entry or control')}),
	defineSetting('name', {description: 'name of this instance, unique among all daemons', schema: nameSchema}),
	defineSetting('availability-zone', {description: 'availability zone of this instance', schema: nameSchema}),
	defineSetting('listen', {description: 'ip:port on which callers connect (entry)', schema: addressSchema, defaultValue: '127.0.0.1:7000'}),
	defineSetting('upstream-listen', {description: 'ip:port on which upstreams announce themselves (entry)', schema: addressSchema, defaultValue: '127.0.0.1:7100'}),
	defineSetting('peer-listen', {description: 'ip:port on which other daemons connect', schema: addressSchema, defaultValue: '127.0.0.1:7200'}),
	defineSetting('operator-listen', {description: 'ip:port on which operators connect (control)', schema: addressSchema, defaultValue: '127.0.0.1:7300'}),
	defineSetting('seeds', {description: 'comma-separated peer addresses of daemons to join through', schema: listSchema, defaultValue: ''}),
	defineSetting('control', {description: 'comma-separated peer addresses of control replicas', schema: listSchema, defaultValue: ''}),
	defineSetting('data-folder', {description: 'folder for all files of this replica (control)', schema: optionalPathSchema}),
	defineSetting('cluster-keys-file', {description: 'file with lines of id:hexkey, keys that authenticate daemons to each other; read again on SIGHUP', schema: z.string('is missing').min(1)}),
	defineSetting('join-keys-file', {description: 'file with lines of name:sha256, digests of the keys of upstreams (entry); read again on SIGHUP', schema: optionalPathSchema}),
	defineSetting('operator-keys-file', {description: 'file with lines of name:sha256, digests of operator keys (control); read again on SIGHUP', schema: optionalPathSchema}),
	defineSetting('order-key-file', {description: 'file with the key that authenticates load orders to upstreams that check their sender (control)', schema: optionalPathSchema}),
	defineSetting('max-caller-bytes', {
		description: 'bytes that others may make this process hold, at all listeners; beyond them the slowest give way', schema: z.coerce.number().int().positive(), defaultValue: '64000000',
	}),
	defineSetting('max-caller-connections', {description: 'connections that others may have open, at all listeners', schema: z.coerce.number().int().positive(), defaultValue: '8000'}),
	defineSetting('keep-entries-ms', {description: 'how long callers may cache the list of entries', schema: msSchema, defaultValue: '5000'}),
	defineSetting('upstream-lease-ms', {description: 'an upstream that has not renewed its lease for this long is considered dead', schema: msSchema, defaultValue: '3000'}),
	defineSetting('stop-timeout-ms', {description: 'time limit of a graceful stop', schema: msSchema, defaultValue: '120000'}),
	defineSetting('stale-policy', {description: 'refuse or serve requests while it is not known whether the preset is still in force', schema: z.enum(['refuse', 'serve']), defaultValue: 'refuse'}),
	defineSetting('statsd', {description: 'ip:port of a StatsD server', schema: addressSchema.optional()}),
	defineSetting('log-level', {description: '0 errors, 1 warnings, 3 information, 4 debugging', schema: z.coerce.number().int().min(0).max(5), defaultValue: '3'}),
	defineSetting('snapshot-every', {description: 'log entries between two snapshots (control)', schema: z.coerce.number().int().min(10), defaultValue: '1000'}),
];

type SettingsSources = Parameters<typeof readSettings>[1];

/**
Validates all settings; throws a `FindingsError` that lists every finding with the setting it concerns.

@example
```
const settings = checkSettings({flags: program.opts(), environment: process.env});
```
*/
export function checkSettings(sources: SettingsSources): DaemonSettings {
	const settings = readSettings(settingDefinitions, sources) as DaemonSettings;
	const findings = [];

	if (settings.role === Role.Control && settings.dataFolder === undefined) {
		findings.push(createFinding('--data-folder', 'is missing: a control replica keeps its state there'));
	}

	if (settings.role === Role.Control && settings.operatorKeysFile === undefined) {
		findings.push(createFinding('--operator-keys-file', 'is missing: without it nobody can operate the system'));
	}

	if (settings.role === Role.Entry && settings.joinKeysFile === undefined) {
		findings.push(createFinding('--join-keys-file', 'is missing: without it no upstream can announce itself'));
	}

	if (settings.role === Role.Entry && settings.control.length === 0) {
		findings.push(createFinding('--control', 'is missing: an entry learns the preset in force from control replicas'));
	}

	if (findings.length > 0) {
		throw new FindingsError(findings);
	}

	return settings;
}

function isAddress(text: string): boolean {
	try {
		parseAddress(text);

		return true;
	} catch {
		return false;
	}
}
