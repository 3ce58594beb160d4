export {checkTrafficConfig} from './check-config.js';
export {
	ChangeKind, diffConfigs, type ConfigChange, type FieldChange,
} from './diff-configs.js';
export {findConfigWarnings} from './find-config-warnings.js';
export {
	checkAllowedRegions, createZoneFilter, filterGateways, mergeAllowedRegions, type AllowedRegions, type GatewayLookup, type RegionsByZone,
} from './regions.js';
export {
	buildRouteTable, chooseTarget, findRoute, type RouteTable,
} from './route-table.js';
export {
	CallKind, type CallerLimits, type ColdSettings, type EngineSettings, type Organisation, type Route, type RouteTarget, type Service, type StoreSettings,
	type TrafficConfig,
} from './types.js';
