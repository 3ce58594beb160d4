import process from 'node:process';
import {Command} from 'commander';
import {benchmarks} from './benchmarks.js';
import {formatFigure, isWithinBound, type Figure} from './report.js';

const program = new Command('bench')
	.argument('[areas...]', `areas to run: ${benchmarks.map(one => one.area).join(', ')}`)
	.option('--json', 'one JSON line a figure')
	.parse();
const {json = false} = program.opts<{json?: boolean}>();
const chosen = benchmarks.filter(one => program.args.length === 0 ? one.isDefault : program.args.includes(one.area));
const past: Figure[] = [];

for (const benchmark of chosen) {
	await benchmark.run(figure => {
		console.log(formatFigure(figure, json));

		if (!isWithinBound(figure)) {
			past.push(figure);
		}
	});
}

console.error(`${past.length} figures past their bounds`);
process.exit(past.length === 0 ? 0 : 1);
