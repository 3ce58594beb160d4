export {
	decodePayload, encodeFrame, readFrames, type FrameScan, FrameFault,
} from './frames.js';
export {
	createLogStore, type LoadedLog, type LogStore, type LogStoreOptions,
} from './log-store.js';
export {createSegmentStore, type SegmentStore, type SegmentStoreOptions} from './segment-store.js';
export {CorruptFileError, DiskError} from './errors.js';
export {createFileSystem, type FileSystem} from './file-system.js';
export {
	type HardState, type LogEntry, type PersistBatch, type Snapshot,
} from './types.js';
export {syncFolder, writeFileAtomically} from './atomic-file.js';
export {createSimulatedDisk, type SimulatedDisk, type SimulatedProcess} from './simulated-disk.js';
