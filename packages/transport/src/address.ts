import {BaseError} from '@fescuestair/core';

/** IP address and port of a listener. */
export type Address = {readonly host: string; readonly port: number};

/**
Parses `ip:port` or `[ip]:port`.

@example
```
parseAddress('127.0.0.1:7000'); //=> {host: '127.0.0.1', port: 7000}
```
*/
export function parseAddress(text: string): Address {
	const match = /^(?:\[(?<six>[\da-fA-F:.]+)\]|(?<four>[\d.]+)):(?<port>\d{1,5})$/v.exec(text);
	const port = Number(match?.groups?.port);
	const host = match?.groups?.six ?? match?.groups?.four;

	if (host === undefined || !(port <= 65_535)) {
		throw new BaseError('address', `${text} is not an IP address and a port`);
	}

	return {host, port};
}
