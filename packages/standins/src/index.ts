export {announce, type AnnounceOptions} from './announce.js';
export {
	heartbeatFrame, kinds, linkKinds, sendCrowd, type Crowd, type CrowdOptions, type Head, type Kind, type Script,
} from './misbehaving-callers.js';
export {countDescriptors, readPeakMegabytes} from './process-usage.js';
export {createResponseToken, createResponseText} from './response-text.js';
export {createEngine, type Engine, type EngineOptions} from './engine.js';
export {createEngineServer, type EngineServerOptions} from './engine-server.js';
export {createServiceServer, type ServiceServerOptions} from './service-server.js';
export {
	createWeights, type Weights, type WeightOrder, type WeightsOptions,
} from './weights.js';
