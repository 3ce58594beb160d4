import {setImmediate} from 'node:timers/promises';

/**
Lets the event loop read once more. After a time in which the process stood still, timers run before anything that has arrived meanwhile is read, so whoever is about to give up a
connection for its silence waits for this first.

@example
```
const {bytesRead} = socket;
await waitForReads();

if (socket.bytesRead === bytesRead) {
	socket.destroy();
}
```
*/
export async function waitForReads(): Promise<void> {
	// After the first, the reads that were under way are done; after the second, the loop has read again.
	await setImmediate();
	await setImmediate();
}
