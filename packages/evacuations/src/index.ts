export {
	applyEvacuationStep, decodeEvacuatedZones, EvacuationStep, isEvacuationZone, type EvacuatedZones, type EvacuationChange,
} from './evacuated-zones.js';
export {
	createEvacuationView, diffEvacuations, getEvacuationEndedAtMs, recordEvacuatedZones, type EvacuationDiff, type EvacuationView,
} from './evacuation-view.js';
