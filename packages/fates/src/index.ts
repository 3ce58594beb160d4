export {createFateStore, type FateStore, type FateStoreOptions} from './fate-store.js';
