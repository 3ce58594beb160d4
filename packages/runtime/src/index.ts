export {
	createFaultLog, openCommandListener, registerLinkMetrics, type CommandListenerOptions, type LinkFaultHandlerOptions,
} from './command-listener.js';
export {createFindFates, type FindRequestEvents, type FindRequestEventsOptions} from './find-fates.js';
export {createGossip, type GossipHost, type GossipOptions} from './gossip.js';
export {createBoundedWriter, type BoundedWriterOptions} from './bounded-writer.js';
export {
	createServedMetrics, openMetricsListener, type MetricLabels, type ServedMetrics,
} from './prometheus-metrics.js';
export {
	createGreeter, type HelloClient, type HelloClientOptions, type HelloOptions,
} from './hello-client.js';
export {createLog, type Log} from './log.js';
export {createMetrics, type Metrics, type StatsdMetricsOptions} from './metrics.js';
