import {Buffer} from 'node:buffer';

export type ByteCollectorOptions = {
	/** Bytes at the most; what goes beyond is not taken. */
	readonly maxBytes?: number;
};

/** Copies of less than this are not worth avoiding. */
const minExpectedShareBytes = 65_536;

/**
Collects bytes that arrive in chunks of any size. Chunks are copied into one growing buffer, so that the memory in use is bounded by the number of bytes and not by the number of
chunks.
*/
export type ByteCollector = {
	/** Copies a chunk behind the bytes before it. Returns false, and takes nothing of it, where the limit would be exceeded. */
	readonly push: (chunk: Uint8Array) => boolean;
	/** Tells how many bytes are announced. Their memory is taken at once where a part of them has arrived, so that less is copied and left to be collected. */
	readonly expect: (bytes: number) => void;
	readonly countBytes: () => number;
	/** Memory in use, in bytes. */
	readonly countMemoryBytes: () => number;
	/** The collected bytes, valid until the next call. */
	readonly peek: () => Buffer;
	/** Returns and removes the collected bytes. */
	readonly take: () => Buffer;
};

const emptyBuffer = Buffer.alloc(0);

/**
Creates an empty collector.

@example
```
const collector = createByteCollector({maxBytes: 4_194_304});
collector.push(Buffer.from('a')); //=> true
collector.take().toString(); //=> 'a'
```
*/
export function createByteCollector({maxBytes = Number.POSITIVE_INFINITY}: ByteCollectorOptions = {}): ByteCollector {
	let memory: Buffer = emptyBuffer;
	let size = 0;
	let expectedBytes = 0;

	const grow = (requiredBytes: number) => {
		const wantedBytes = requiredBytes > minExpectedShareBytes && requiredBytes <= expectedBytes ? expectedBytes : memory.length * 2;
		const grown = Buffer.allocUnsafe(Math.max(requiredBytes, Math.min(wantedBytes, maxBytes)));
		memory.copy(grown, 0, 0, size);
		memory = grown;
	};

	return {
		push(chunk) {
			const required = size + chunk.length;

			if (required > maxBytes) {
				return false;
			}

			if (required > memory.length) {
				grow(required);
			}

			memory.set(chunk, size);
			size = required;

			return true;
		},
		expect(bytes) {
			expectedBytes = bytes;
		},
		countBytes: () => size,
		countMemoryBytes: () => memory.length,
		peek: () => memory.subarray(0, size),
		take() {
			const bytes = memory.subarray(0, size);
			memory = emptyBuffer;
			size = 0;

			return bytes;
		},
	};
}

/**
Reads a source to its end; returns `undefined` once there are too many, and ends the source then.

@example
```
const input = await readAllBytes(process.stdin, {maxBytes: 1_000_000});
```
*/
export async function readAllBytes(source: AsyncIterable<Uint8Array>, options: ByteCollectorOptions = {}): Promise<Buffer | undefined> {
	const collector = createByteCollector(options);

	for await (const chunk of source) {
		if (!collector.push(chunk)) {
			return undefined;
		}
	}

	return collector.take();
}
