export {
	createLinkFaultHandler, openCommandListener, registerLinkMetrics, type CommandListenerOptions, type LinkFaultHandlerOptions,
} from './command-listener.js';
export {createFindRequestEvents, type FindRequestEvents, type FindRequestEventsOptions} from './find-fates.js';
export {createGossip, type GossipHost, type GossipOptions} from './gossip.js';
export {createBoundedWriter, type BoundedWriterOptions} from './bounded-writer.js';
export {
	createPrometheusMetrics, openMetricsListener, type MetricLabels, type PrometheusMetrics,
} from './prometheus-metrics.js';
export {
	createHelloClient, type HelloClient, type HelloClientOptions, type HelloOptions,
} from './hello-client.js';
export {createLogger, type Logger} from './log.js';
export {createStatsdMetrics, type StatsdMetrics, type StatsdMetricsOptions} from './metrics.js';
