import {execFile} from 'node:child_process';
import process from 'node:process';
import {promisify} from 'node:util';
import test from 'ava';
import {findFreeAddress} from '../../free-address.js';

const portsPerSystem = 200;

const findPorts = async () => {
	const addresses = [];

	for (let count = 0; count < portsPerSystem; count++) {
		addresses.push(await findFreeAddress());
	}

	return addresses;
};

test('processes that run at the same time find different addresses, and one process finds each of them once', async t => {
	const script = `
		import {findFreeAddress} from ${JSON.stringify(new URL('../../free-address.js', import.meta.url).href)};
		import {setTimeout as sleep} from 'node:timers/promises';
		const addresses = [];
		for (let count = 0; count < ${portsPerSystem}; count++) {
			addresses.push(await findFreeAddress());
		}
		await sleep(2000);
		console.log(addresses.join());
	`;
	const others = Array.from({length: 4}, async () => promisify(execFile)(process.execPath, ['--input-type=module', '--eval', script]));
	const own = await findPorts();
	const found = [...own];

	for (const {stdout} of await Promise.all(others)) {
		found.push(...stdout.trim().split(','));
	}

	t.is(found.length, 5 * portsPerSystem);
	t.is(new Set(found).size, found.length);
});
