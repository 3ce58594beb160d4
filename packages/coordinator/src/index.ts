export {
	ChangeOutcome, createCoordinator, type ChangeAnswer, type Coordinator, type CoordinatorOptions,
} from './coordinator.js';
export {
	createWeightOrders, OrderAnswer, type WeightOrderInput, type WeightOrdersOptions, type WeightReport,
} from './weight-orders.js';
export {
	createPartsIndexHost, type PartsIndexHostOptions, type StoreClient, type StoreEvents, type StoreListing,
} from './parts-index-host.js';
export {
	addOrderFailure, computeMaxConcurrentLoads, listOutdatedInstances, OrderObstacle, planWeightOrders, type OrderFailures, type OutdatedInstance, type WeightOrder, type PlanWeightOrdersInput,
} from './plan-weight-orders.js';
export {
	applyPublish, createPublishedState, decodePublishedState, describePublished, encodePublishedState, listTargetAges, PublishKind, type PublishAnswer,
	type PublishCommand, type PublishedState, type RecordedTarget, type SetTargetVersionCommand,
} from './published-state.js';
export {createStreamOriginsHost, type StreamOriginsHost, type StreamOriginsHostOptions} from './stream-origins-host.js';
