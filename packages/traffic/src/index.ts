export {checkTrafficConfig} from './check-config.js';
export {
	buildRouteTable, chooseTarget, findRoute, type RouteTable,
} from './route-table.js';
export {
	CallKind, type CallerLimits, type EngineFigures, type Organisation, type Route, type RouteTarget, type Service, type StoreFigures,
	type TrafficConfig,
} from './types.js';
