import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';

/**
Reads a message body to its end; returns `undefined` as soon as it is too large, and leaves the rest unread. Throws if the connection is lost before the end.

@example
```
const body = await readBytes(request, size => size > 4_194_304);
```
*/
export async function readBytes(message: IncomingMessage, isTooLarge: (size: number) => boolean): Promise<Buffer | undefined> {
	const chunks: Buffer[] = [];
	let size = 0;

	for await (const chunk of message.iterator({destroyOnReturn: false})) {
		size += (chunk as Buffer).length;

		if (isTooLarge(size)) {
			return undefined;
		}

		chunks.push(chunk as Buffer);
	}

	return Buffer.concat(chunks);
}
