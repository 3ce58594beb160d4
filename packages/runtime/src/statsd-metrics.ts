import {StatsD} from 'hot-shots';

export type StatsdMetricsOptions = {
	/** IP address of the StatsD server; if undefined, no metrics are sent. */
	readonly host: string | undefined;
	readonly port: number;
	readonly instance: string;
};

/** Counters and histograms of a process, sent to StatsD. Histograms are tagged with organisation and request class. */
export type StatsdMetrics = {
	readonly count: (name: string, tags: Readonly<Record<string, string>>) => void;
	readonly observe: (name: string, value: number, tags: Readonly<Record<string, string>>) => void;
	readonly close: () => void;
};

const flushIntervalMs = 1000;

/**
Creates the StatsD metrics of a process.

@example
```
metrics.observe('first_token_ms', 120, {organisation: 'okahandja', class: 'short'});
```
*/
export function createStatsdMetrics({host, port, instance}: StatsdMetricsOptions): StatsdMetrics {
	if (host === undefined) {
		return noopMetrics;
	}

	const client = new StatsD({
		host,
		port,
		prefix: 'fescuestair.',
		globalTags: {instance},
		maxBufferSize: 1400,
		bufferFlushInterval: flushIntervalMs,
		// Metrics are best effort: errors of the socket are ignored.
		errorHandler: () => undefined,
	});

	return {
		count(name, tags) {
			client.increment(name, 1, {...tags});
		},
		observe(name, value, tags) {
			client.histogram(name, value, {...tags});
		},
		close() {
			client.close();
		},
	};
}

const noopMetrics: StatsdMetrics = {
	count: () => undefined,
	observe: () => undefined,
	close: () => undefined,
};
