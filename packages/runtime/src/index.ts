export {
	createFaultLog, openCommandListener, registerLinkMetrics, type CommandListenerOptions, type FaultLogOptions,
} from './command-listener.js';
export {createFindFates, type FindFates, type FindFatesOptions} from './find-fates.js';
export {createGossip, type GossipHost, type GossipOptions} from './gossip.js';
export {createBoundedWriter, type BoundedWriterOptions} from './bounded-writer.js';
export {
	createServedMetrics, openMetricsListener, type Labels, type ServedMetrics,
} from './served-metrics.js';
export {
	createGreeter, type Greeter, type GreeterOptions, type Greeting,
} from './greeter.js';
export {createLog, type Log} from './log.js';
export {createMetrics, type Metrics, type MetricsOptions} from './metrics.js';
