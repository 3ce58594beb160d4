// Fails if the name of a function declaration does not begin with a verb from the list in CONTRIBUTING.md. `--list` prints the verbs in use.
import fs from 'node:fs';
import process from 'node:process';

const guidelines = fs.readFileSync('CONTRIBUTING.md', 'utf8');
const section = /## Verbs that functions begin with\n\n(?<list>[^#]+)/v.exec(guidelines)?.groups?.list ?? '';
const verbs = new Set(section.split(/[\s,.]+/v).filter(Boolean));
const findings = [];
const usedVerbs = new Set();

for (const file of ['packages', 'platform'].flatMap(folder => fs.readdirSync(folder, {recursive: true}).map(name => `${folder}/${name}`))) {
	if (!/^(?:packages\/[a-z]+|platform)\/src\/.*\.ts$/v.test(file) || file.includes('__tests__')) {
		continue;
	}

	for (const match of fs.readFileSync(file, 'utf8').matchAll(/\bfunction\s*\*?\s*(?<name>[a-z]\w*)\s*[<\(]/gv)) {
		const verb = /^[a-z]+/v.exec(match.groups.name)[0];
		usedVerbs.add(verb);

		if (!verbs.has(verb)) {
			findings.push(`${file}: ${match.groups.name} does not begin with a verb from the list in CONTRIBUTING.md`);
		}
	}
}

if (process.argv.includes('--list')) {
	console.log([...usedVerbs].toSorted().join(', '));
}

for (const finding of findings) {
	console.error(finding);
}

console.log(`${findings.length} findings in the check of verbs`);
process.exitCode = findings.length === 0 ? 0 : 1;
