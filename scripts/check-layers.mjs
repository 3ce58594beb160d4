// Fails if a package depends on a package that is not in a lower layer, or imports one that its manifest does not declare.
import fs from 'node:fs';
import process from 'node:process';

const layerByPackage = {
	core: 0,
	storage: 1,
	protocol: 1,
	traffic: 1,
	instances: 1,
	parts: 1,
	crashes: 1,
	streams: 1,
	evacuations: 1,
	state: 2,
	fates: 2,
	agreement: 2,
	membership: 2,
	routing: 2,
	kv: 2,
	limits: 2,
	transport: 2,
	runtime: 3,
	replication: 4,
	control: 5,
	entry: 5,
	gateway: 5,
	coordinator: 5,
	daemon: 6,
	cli: 6,
	standins: 6,
	demo: 7,
	bench: 8,
};

const findings = [];

for (const name of fs.readdirSync('packages')) {
	const manifest = JSON.parse(fs.readFileSync(`packages/${name}/package.json`, 'utf8'));
	const dependencies = Object.keys(manifest.dependencies ?? {}).filter(dependency => dependency.startsWith('@fescuestair/'));

	if (layerByPackage[name] === undefined) {
		findings.push(`packages/${name}: has no layer in scripts/check-layers.mjs`);
	}

	for (const dependency of dependencies) {
		const dependencyName = dependency.slice('@fescuestair/'.length);

		if (layerByPackage[dependencyName] >= layerByPackage[name]) {
			findings.push(`packages/${name}/package.json: must not depend on ${dependencyName}, which is not in a lower layer`);
		}
	}

	for (const file of fs.readdirSync(`packages/${name}/src`, {recursive: true})) {
		if (!file.endsWith('.ts')) {
			continue;
		}

		const text = fs.readFileSync(`packages/${name}/src/${file}`, 'utf8');

		for (const match of text.matchAll(/from '(@fescuestair\/[a-z]+)/gv)) {
			if (!dependencies.includes(match[1])) {
				findings.push(`packages/${name}/src/${file}: imports ${match[1]}, which its package does not declare`);
			}
		}
	}
}

for (const finding of findings) {
	console.error(finding);
}

console.log(`${findings.length} findings in the layer check`);
process.exitCode = findings.length === 0 ? 0 : 1;
