export {createFateStore, type FateStore, type FateStoreOptions} from './request-event-store.js';
