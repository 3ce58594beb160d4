import {processCallerBudget} from '@fescuestair/transport';
import {type Logger} from './logger.js';

/** Logs what gives way since others make this process hold more than they may. Returns a function that undoes it. */
export function reportCallerEvictions(log: Pick<Logger, 'warn'>): () => void {
	return processCallerBudget.registerReporter(evictions => {
		log.warn('callers gave way for want of room', {
			...Object.fromEntries(evictions), bytesHeld: processCallerBudget.countBytes(), connectionsOpen: processCallerBudget.countConnections(),
		});
	});
}
