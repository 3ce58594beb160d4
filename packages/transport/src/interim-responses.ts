import {type ClientRequest} from 'node:http';
import {type Socket} from 'node:net';
import {processReadPacer} from './read-pacer.js';

/** More than a server needs that sends one each second for as long as a request may last. */
const maxInterimResponses = 100;

/**
Bounds the interim responses (1xx) to a request, which Node parses without end. Calls a function once there are too many; what it does has to end the request.

@example
```
watchInterimResponses(request, () => {
	request.destroy();
});
```
*/
export function watchInterimResponses(request: ClientRequest, onExceeded: () => void): void {
	let count = 0;
	let recordPiece: (() => void) | undefined;

	request.on('socket', (socket: Socket) => {
		recordPiece = processReadPacer.open(socket);
	});
	request.on('information', () => {
		recordPiece?.();
		count++;

		if (count === maxInterimResponses) {
			onExceeded();
		}
	});
}
