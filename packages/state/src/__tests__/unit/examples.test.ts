import fs from 'node:fs/promises';
import test from 'ava';
import {ItemKind, parseDeclarations} from '../../index.js';

const examples = new URL('../../../../../examples/', import.meta.url);

for (const deployment of ['wheelworks', 'red']) {
	test(`the example configuration of ${deployment} has no findings and declares its three presets`, async t => {
		const names = await fs.readdir(new URL(`${deployment}/`, examples));
		const files = await Promise.all(names.map(async name => ({path: name, text: await fs.readFile(new URL(`${deployment}/${name}`, examples), 'utf8')})));
		const {items, findings} = parseDeclarations(files);
		t.deepEqual(findings, []);
		t.deepEqual([...items.values()].filter(item => item.kind === ItemKind.Preset).map(item => item.name).toSorted(), ['maintenance', 'ordinary', 'peak']);
	});
}
