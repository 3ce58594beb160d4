import http from 'node:http';
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {openHttpListener, parseAddress, type HttpListener} from '@fescuestair/transport';

/** Counters, gauges and histograms of a process, read as text at an address of its own. */
export type ServedMetrics = {
	readonly count: (name: string, labels: Labels, amount?: number) => void;
	/** Observes milliseconds. */
	readonly observeMs: (name: string, labels: Labels, ms: number) => void;
	/** Sets a gauge that is read when somebody asks. */
	readonly registerGauge: (name: string, help: string, read: () => number) => void;
	/** Serves counts that somebody else keeps, by the value of one label; counting costs no more than the keeping. */
	readonly registerCounts: (name: string, help: string, options: {readonly label: string; readonly read: () => Iterable<readonly [value: string, count: number]>}) => void;
	readonly renderText: () => Promise<string>;
};

export type Labels = Readonly<Record<string, string>>;

const prefix = 'fescuestair_';
/** Upper bounds of latencies, from a local call to the longest wait of a caller. */
const bucketsMs = [5, 10, 20, 50, 100, 200, 300, 500, 800, 1200, 2000, 3500, 5000, 10_000];
/** Distinct values of one label; the rest is counted together, so that callers cannot fill the memory. */
const maxLabelValues = 200;
const otherValue = 'other';

/**
Creates the metrics of a process.

@example
```
const metrics = createServedMetrics();
metrics.count('requests_total', {outcome: 'answered'});
metrics.observeMs('first_piece_ms', {kind: 'streaming'}, 42);
```
*/
export function createServedMetrics(): ServedMetrics {
	const registry = new Registry();
	const counters = new Map<string, Counter>();
	const histograms = new Map<string, Histogram>();
	const seen = new Map<string, Set<string>>();

	const boundLabels = (labels: Labels): Labels => Object.fromEntries(Object.entries(labels).map(([name, value]) => {
		const values = seen.get(name) ?? new Set<string>();
		seen.set(name, values);

		if (!values.has(value) && values.size >= maxLabelValues) {
			return [name, otherValue];
		}

		values.add(value);

		return [name, value];
	}));

	return {
		count(name, labels, amount = 1) {
			let counter = counters.get(name);

			if (counter === undefined) {
				counter = new Counter({
					name: prefix + name, help: name.replaceAll('_', ' '), labelNames: Object.keys(labels), registers: [registry],
				});
				counters.set(name, counter);
			}

			counter.inc(boundLabels(labels), amount);
		},
		observeMs(name, labels, ms) {
			let histogram = histograms.get(name);

			if (histogram === undefined) {
				histogram = new Histogram({
					name: prefix + name, help: name.replaceAll('_', ' '), labelNames: Object.keys(labels), buckets: bucketsMs, registers: [registry],
				});
				histograms.set(name, histogram);
			}

			histogram.observe(boundLabels(labels), ms);
		},
		registerGauge(name, help, read) {
			const gauge = new Gauge({
				name: prefix + name,
				help,
				registers: [registry],
				collect() {
					gauge.set(read());
				},
			});
		},
		registerCounts(name, help, {label, read}) {
			const gauge = new Gauge({
				name: prefix + name,
				help,
				labelNames: [label],
				registers: [registry],
				collect() {
					for (const [value, count] of read()) {
						gauge.set({[label]: value}, count);
					}
				},
			});
		},
		renderText: async () => registry.metrics(),
	};
}

/** Serves metrics as text at one path. */
export async function openMetricsListener(metrics: ServedMetrics, {listen, path}: {readonly listen: string; readonly path: string}): Promise<HttpListener> {
	const server = http.createServer((request, response) => {
		if (request.url !== path) {
			response.writeHead(404).end();

			return;
		}

		void (async () => {
			const text = await metrics.renderText();
			response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'}).end(text);
		})();
	});

	return openHttpListener(server, parseAddress(listen));
}
