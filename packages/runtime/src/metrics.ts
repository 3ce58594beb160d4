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
	readonly gauge: (name: string, value: number) => void;
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
	const client = new StatsD({
		host: host ?? '127.0.0.1',
		port,
		prefix: 'fescuestair.',
		globalTags: {instance},
		mock: host === undefined,
		maxBufferSize: 1400,
		bufferFlushInterval: flushMs,
		errorHandler: () => undefined,
	});

	// In a mock every call would be kept in memory.
	const isSending = host !== undefined;

	return {
		count(name, tags) {
			if (isSending) {
				client.increment(name, 1, {...tags});
			}
		},
		observe(name, value, tags) {
			if (isSending) {
				client.histogram(name, value, {...tags});
			}
		},
		gauge(name, value) {
			if (isSending) {
				client.gauge(name, value);
			}
		},
		close() {
			client.close();
		},
	};
}
