export {createRequestEventStore, type RequestEventStore, type RequestEventStoreOptions} from './request-event-store.js';
