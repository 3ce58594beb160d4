import {type ServerResponse} from 'node:http';
import {processCallerBudget, type CallerBudget} from './caller-budget.js';

/**
Counts what a caller has not taken yet of an answer that has ended, until it has, or has left. Where it has to give way, its connection is closed.

@example
```
response.end(body);
countUnsent(response);
```
*/
export function countUnsent(response: ServerResponse, budget: Pick<CallerBudget, 'open'> = processCallerBudget): void {
	const bytes = response.writableLength;

	if (bytes === 0 || response.closed) {
		return;
	}

	const holding = budget.open(() => {
		// One that waits behind others has no connection of its own yet.
		response.req.socket.destroy();
	});
	response.once('close', holding.release);
	holding.resize(bytes);
}
