export {
	createLinkFaultHandler, openCommandListener, registerLinkMetrics, type CommandListenerOptions, type LinkFaultHandlerOptions,
} from './command-listener.js';
export {createFindRequestEvents, type FindRequestEvents, type FindRequestEventsOptions} from './find-request-events.js';
export {createGossip, type GossipHost, type GossipOptions} from './gossip.js';
export {createBoundedWriter, type BoundedWriterOptions} from './bounded-writer.js';
export {
	createPrometheusMetrics, openMetricsListener, type MetricLabels, type PrometheusMetrics,
} from './prometheus-metrics.js';
export {
	createHelloClient, type HelloClient, type HelloClientOptions, type HelloOptions,
} from './hello-client.js';
export {createLogger, type Logger} from './logger.js';
export {
	createPermitClient, PermitOutcome, type PermitClient, type PermitClientOptions, type PermitOptions, type PermitResult,
} from './permit-client.js';
export {
	createColdInstances, noColdInstances, type ColdInstances, type ColdInstancesOptions,
} from './cold-instances.js';
export {createPermitGrantor, type PermitGrantor, type PermitGrantorOptions} from './permit-grantor.js';
export {reportCallerEvictions} from './report-caller-evictions.js';
export {
	createRequestLimits, type InstanceRun, type RequestLimits, type RequestLimitsOptions,
} from './request-limits.js';
export {createStatsdMetrics, type StatsdMetrics, type StatsdMetricsOptions} from './statsd-metrics.js';
