export {loadClusterKeys, parseClusterKeys, type ClusterKeys} from './cluster-keys.js';
export {
	createLinkServer, type LinkHandler, type LinkServer, type LinkServerOptions,
} from './link-server.js';
export {
	createLinks, LinkLostError, type Links, type LinksOptions,
} from './links.js';
export {InvalidFrameError} from './link-frames.js';
export {parseAddress, type Address} from './address.js';
export {
	canDiscardBody, dropBody, readBody, sendJson, sendRefusal, type BodyLimits, type BodyReadOptions,
} from './http.js';
export {createKeyRing, digestKey, type KeyRing} from './key-ring.js';
export {createEventStreamParser, type ServerSentEvent} from './event-stream-parser.js';
export {registerClientErrors, type ClientErrorOptions} from './client-errors.js';
export {registerIdleTimeouts} from './idle-timeouts.js';
export {waitForReads} from './wait-for-reads.js';
export {openHttpListener, type HttpListener} from './http-listener.js';
export {
	readAllBytes, createByteCollector, type ByteCollector, type ByteCollectorOptions,
} from './byte-collector.js';
export {getReadGate, ReadHold, type ReadGate} from './read-gate.js';
export {
	createReadPacer, processReadPacer, type ReadPacer, type ReadPacerOptions,
} from './read-pacer.js';
export {IncompleteMessageError, readMessage, type MessageReadOptions} from './read-message.js';
export {
	createMemoryBudget, pickLargest, pickSlowest, pickSlowestOrLargest, type EvictionCandidate, type Holding, type MemoryBudget, type MemoryBudgetOptions, type VictimPicker,
} from './memory-budget.js';
export {
	createConnectionLimit, pickConnectionToClose, type ConnectionLimit, type ConnectionLimitOptions, type LatestExchange, type OpenConnections,
} from './connection-limit.js';
export {
	CallerEviction, createCallerBudget, processCallerBudget, type CallerBudget, type CallerBudgetLimits, type CallerBudgetOptions,
} from './caller-budget.js';
export {
	BodyReadEnd, createRequestBodies, type BodyRead, type BodyRefusal, type RequestBodies, type RequestBodiesOptions,
} from './request-bodies.js';
export {admitRequests, type AdmitRequestsOptions} from './admit-requests.js';
export {countUnsent} from './count-unsent.js';
export {watchInterimResponses} from './interim-responses.js';
export {
	createEventCollector, eventDelimiters, maxDelimiterBytes, type EventCollector,
} from './event-collector.js';
