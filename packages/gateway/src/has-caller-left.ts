import {waitForReads} from '@fescuestair/transport';
import {type Exchange} from './exchange.js';

/**
Whether the caller has closed its connection by now. The end of a connection is read in a later turn of the event loop than the request before it, so a gateway that lags
would send requests of callers that left long ago: this lets the loop read what has arrived, and then looks.

@example
```
if (await hasCallerLeft(exchange)) {
	return endCallerGone();
}
```
*/
export async function hasCallerLeft({request: {socket}, response}: Pick<Exchange, 'request' | 'response'>): Promise<boolean> {
	await waitForReads();

	// The response learns of it later than the socket.
	return response.destroyed || socket.destroyed || socket.readableEnded;
}
