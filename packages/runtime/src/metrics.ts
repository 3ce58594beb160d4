import {StatsD} from 'hot-shots';

export type MetricsOptions = {
	/** `ip` and port of the StatsD listener; without one nothing is sent. */
	readonly host: string | undefined;
	readonly port: number;
	readonly instance: string;
};

/** What a process counts. Histograms carry the organisation and the class as tags. */
export type Metrics = {
	readonly count: (name: string, tags: Readonly<Record<string, string>>) => void;
	readonly observe: (name: string, value: number, tags: Readonly<Record<string, string>>) => void;
	readonly close: () => void;
};

const flushMs = 1000;

/**
Creates the metrics of a process.

@example
```
metrics.observe('first_token_ms', 120, {organisation: 'okahandja', class: 'short'});
```
*/
export function createMetrics({host, port, instance}: MetricsOptions): Metrics {
	if (host === undefined) {
		return silentMetrics;
	}

	const client = new StatsD({
		host,
		port,
		prefix: 'fescuestair.',
		globalTags: {instance},
		maxBufferSize: 1400,
		bufferFlushInterval: flushMs,
		// A lost datagram is no reason to fail.
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

const silentMetrics: Metrics = {
	count: () => undefined,
	observe: () => undefined,
	close: () => undefined,
};
