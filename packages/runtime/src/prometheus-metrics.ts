import http from 'node:http';
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {
	countUnsent, admitRequests, openHttpListener, parseAddress, type HttpListener,
} from '@fescuestair/transport';

/** Counters, gauges and histograms of a process, exposed in the Prometheus text format. */
export type PrometheusMetrics = {
	readonly count: (name: string, labels: MetricLabels, amount?: number) => void;
	/** Adds a duration in milliseconds to a histogram. */
	readonly observeMs: (name: string, labels: MetricLabels, ms: number) => void;
	/** Registers a gauge whose value is read when the metrics are scraped. */
	readonly registerGauge: (name: string, help: string, read: () => number) => void;
	/** Registers a gauge with one label whose values are read from existing counts when the metrics are scraped; counting itself has no extra cost. */
	readonly registerLabelledGauge: (name: string, help: string, options: {readonly label: string; readonly read: () => Iterable<readonly [value: string, count: number]>}) => void;
	readonly renderText: () => Promise<string>;
};

export type MetricLabels = Readonly<Record<string, string>>;

const prefix = 'fescuestair_';
/** Upper bounds of the histogram buckets, from a local call to the longest time that a caller waits. */
const latencyBucketsMs = [5, 10, 20, 50, 100, 200, 300, 500, 800, 1200, 2000, 3500, 5000, 10_000];
/** Limit of distinct values per label; further values are counted under one value, so that callers cannot exhaust the memory. */
const maxValuesPerLabel = 200;
const overflowLabelValue = 'other';

/**
Creates the Prometheus metrics of a process.

@example
```
const metrics = createPrometheusMetrics();
metrics.count('requests_total', {outcome: 'answered'});
metrics.observeMs('first_piece_ms', {kind: 'streaming'}, 42);
```
*/
export function createPrometheusMetrics(): PrometheusMetrics {
	const registry = new Registry();
	const counters = new Map<string, Counter>();
	const histograms = new Map<string, Histogram>();
	const seenValuesByLabel = new Map<string, Set<string>>();

	const applyCardinalityLimit = (labels: MetricLabels): MetricLabels => Object.fromEntries(Object.entries(labels).map(([name, value]) => {
		const values = seenValuesByLabel.get(name) ?? new Set<string>();
		seenValuesByLabel.set(name, values);

		if (!values.has(value) && values.size >= maxValuesPerLabel) {
			return [name, overflowLabelValue];
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

			counter.inc(applyCardinalityLimit(labels), amount);
		},
		observeMs(name, labels, ms) {
			let histogram = histograms.get(name);

			if (histogram === undefined) {
				histogram = new Histogram({
					name: prefix + name, help: name.replaceAll('_', ' '), labelNames: Object.keys(labels), buckets: latencyBucketsMs, registers: [registry],
				});
				histograms.set(name, histogram);
			}

			histogram.observe(applyCardinalityLimit(labels), ms);
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
		registerLabelledGauge(name, help, {label, read}) {
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

export type MetricsListenerOptions = {
	readonly listen: string;
	readonly path: string;
	/** Called if the metrics cannot be read; the request is answered with 500. */
	readonly onError?: (error: unknown) => void;
};

/** Opens an HTTP listener that serves the metrics at `path` and 404 elsewhere. */
export async function openMetricsListener(metrics: PrometheusMetrics, {listen, path, onError = () => undefined}: MetricsListenerOptions): Promise<HttpListener> {
	const server = http.createServer(admitRequests((request, response) => {
		if (request.url !== path) {
			response.writeHead(404).end();

			return;
		}

		void (async () => {
			try {
				const text = await metrics.renderText();
				response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'}).end(text);
				countUnsent(response);
			} catch (error) {
				onError(error);
				response.writeHead(500).end();
			}
		})();
	}));

	return openHttpListener(server, parseAddress(listen));
}
