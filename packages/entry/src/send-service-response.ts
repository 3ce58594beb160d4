import {type ServerResponse} from 'node:http';
import {headerNames} from '@fescuestair/protocol';
import {type ServiceResult} from './service-attempt.js';

/**
Sends the response of a service to the caller, with its length: one that is cut short can be told, also where the process is killed.

@example
```
sendServiceResponse(response, {status: 200, contentType: 'application/json', body, isReplay: false}, 'r-1');
```
*/
export function sendServiceResponse(response: ServerResponse, {status, contentType, body, isReplay}: ServiceResult, requestId: string): void {
	response.writeHead(status, {
		'content-type': contentType,
		'content-length': body.length,
		[headerNames.requestId]: requestId,
		...(isReplay && {[headerNames.idempotencyReplayed]: 'true'}),
	});
	response.end(body);
}
