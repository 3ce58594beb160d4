import process from 'node:process';
import {Command} from 'commander';
import {benchmarks} from './benchmarks.js';
import {formatMeasurement, isWithinBound, type Measurement} from './report.js';

const program = new Command('bench')
	.argument('[areas...]', `areas to run: ${benchmarks.map(benchmark => benchmark.area).join(', ')}`)
	.option('--json', 'print one JSON line per measurement')
	.parse();
const {json = false} = program.opts<{json?: boolean}>();
const selected = benchmarks.filter(benchmark => program.args.length === 0 ? benchmark.isDefault : program.args.includes(benchmark.area));
const failed: Measurement[] = [];

for (const benchmark of selected) {
	await benchmark.run(measurement => {
		console.log(formatMeasurement(measurement, json));

		if (!isWithinBound(measurement)) {
			failed.push(measurement);
		}
	});
}

console.error(`${failed.length} measurements out of bounds`);
process.exit(failed.length === 0 ? 0 : 1);
