// Fails if a name of the platform's wire format appears in the sources of packages/, tests excepted: only the adapter in platform/ may use these names.
import fs from 'node:fs';
import process from 'node:process';

const wireNames = [
	// Headers
	'response-seal',
	'tenant-id',
	'expect-instance',
	'cache-salt',
	'kv-fetch',
	'kv-save',
	'kv-until',
	'kv-backup',
	'kv-from',
	'not-executed',
	'server-load',
	'deadline-ms',
	'token-usage',
	'prompt-prefix',
	'weight-versions',
	'expect-version',
	'pin-ms',
	'length-hint',
	'instance-id',
	'request-priority',
	'wait-ms',
	// Fields
	'path_prefix',
	'traffic_split',
	'target_latency_ms',
	'target_gap_ms',
	'api_keys',
	'kv_store_addr',
	'kv_capacity_tokens',
	'kv_token_bytes',
	'fencing_token',
	'switch_mode',
	'boot_epoch',
	'next_page_token',
	'cold_left_ms',
	'heartbeat_addr',
	'partial_parts',
	'machine_class',
	'internal_port_range',
	'ttl_s',
	'clock_ms',
	// Paths
	'/kv-events',
	'/kv-list',
	'/kv-free',
	'/config/replace',
	'/config/read',
	'/version-put',
	'/resolution',
	'/deregister',
];
const pattern = new RegExp(String.raw`(?<![\w\-])(?:${wireNames.join('|')})(?![\w\-])`, 'giv');
const findings = [];

for (const file of fs.readdirSync('packages', {recursive: true}).map(name => `packages/${name}`)) {
	if (!/^packages\/[a-z]+\/src\/.*\.ts$/v.test(file) || file.includes('__tests__')) {
		continue;
	}

	for (const [lineIndex, line] of fs.readFileSync(file, 'utf8').split('\n').entries()) {
		for (const [name] of line.matchAll(pattern)) {
			findings.push(`${file}:${lineIndex + 1}: uses the platform's wire name ${name}`);
		}
	}
}

for (const finding of findings) {
	console.error(finding);
}

console.log(`${findings.length} findings in the check for wire names of the platform`);
process.exitCode = findings.length === 0 ? 0 : 1;
