export {announce, type AnnounceOptions} from './announcer.js';
export {createAnswerToken, createAnswerText} from './answer.js';
export {createEngine, type Engine, type EngineOptions} from './engine.js';
export {createEngineServer, type EngineServerOptions} from './engine-server.js';
export {createServiceServer, type ServiceServerOptions} from './service-server.js';
export {
	createWeights, type Weights, type WeightOrder, type WeightsOptions,
} from './weights.js';
