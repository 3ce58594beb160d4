import {Buffer} from 'node:buffer';
import {Packr} from 'msgpackr';
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();
const packr = new Packr({useRecords: false, structuredClone: false, int64AsType: 'number'});
const lengthFieldBytes = 4;
const checksumFieldBytes = 8;
const headerBytes = lengthFieldBytes + checksumFieldBytes;
/** Shortest run of zero bytes that counts as unwritten: longer than any run in a number that the codec writes. */
const minZeroRunBytes = 8;

/** Why a scan stopped before the end of the file. */
export enum FrameFault {
	None = 'none',
	/** The last write is incomplete. It was never acknowledged, so its bytes can be dropped. */
	TornTail = 'torn_tail',
	/** A frame is damaged, other than by an incomplete last write. */
	ChecksumMismatch = 'bad_checksum',
}

export type FrameScan = {
	readonly payloads: readonly unknown[];
	/** Number of bytes up to the end of the last valid frame. */
	readonly validBytes: number;
	readonly fault: FrameFault;
};

/**
Encodes a value as one frame: payload length (32 bits), checksum of the payload (xxHash, 64 bits), MessagePack payload.

@example
```
await handle.write(encodeFrame({term: 3}));
```
*/
export function encodeFrame(value: unknown): Uint8Array {
	const payload = packr.pack(value);
	const frame = Buffer.allocUnsafe(headerBytes + payload.length);
	frame.writeUInt32LE(payload.length, 0);
	frame.writeBigUInt64LE(hasher.h64Raw(payload), lengthFieldBytes);
	payload.copy(frame, headerBytes);

	return frame;
}

/** Decodes the MessagePack payload of a frame. */
export function decodePayload(bytes: Uint8Array): unknown {
	return packr.unpack(bytes) as unknown;
}

/**
Decodes frames up to the end of the file or the first fault.

@example
```
const {payloads, fault} = readFrames(await fs.readFile(path));
```
*/
export function readFrames(bytes: Uint8Array): FrameScan {
	const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
	const payloads: unknown[] = [];
	let offset = 0;

	while (offset < bytes.length) {
		if (bytes.length - offset < headerBytes) {
			return {payloads, validBytes: offset, fault: FrameFault.TornTail};
		}

		const end = offset + headerBytes + view.getUint32(offset, true);

		if (end > bytes.length) {
			return {payloads, validBytes: offset, fault: classifyIncompleteFrame(bytes, view, offset)};
		}

		const payload = bytes.subarray(offset + headerBytes, end);

		if (hasher.h64Raw(payload) !== view.getBigUint64(offset + lengthFieldBytes, true)) {
			const isTorn = isLastFrame(bytes, offset, end) && hasZeroRun(bytes, offset);

			return {payloads, validBytes: offset, fault: isTorn ? FrameFault.TornTail : FrameFault.ChecksumMismatch};
		}

		payloads.push(decodePayload(payload));
		offset = end;
	}

	return {payloads, validBytes: offset, fault: FrameFault.None};
}

// A header that was never written reads as length 0. What follows it cannot be read as frames, so it counts as the last one.
function isLastFrame(bytes: Uint8Array, offset: number, end: number): boolean {
	return end === bytes.length || end === offset + headerBytes;
}

// After a power loss the file can have its full length while parts of the last, unacknowledged write are missing. These parts read as
// runs of zero bytes that are longer than any in an encoded payload.
function hasZeroRun(bytes: Uint8Array, offset: number): boolean {
	let zeroCount = 0;

	for (let position = offset; position < bytes.length; position++) {
		zeroCount = bytes[position] === 0 ? zeroCount + 1 : 0;

		if (zeroCount >= minZeroRunBytes) {
			return true;
		}
	}

	return false;
}

// A flipped bit in the length field can make a complete frame look truncated. With the correct length, found by flipping each of the
// 32 bits in turn, the payload then matches the stored checksum; the payload of a truncated write matches at no length.
function classifyIncompleteFrame(bytes: Uint8Array, view: DataView, offset: number): FrameFault {
	const checksum = view.getBigUint64(offset + lengthFieldBytes, true);
	const declaredLength = view.getUint32(offset, true);
	const start = offset + headerBytes;

	for (let bit = 0; bit < 32; bit++) {
		// eslint-disable-next-line no-bitwise
		const candidateLength = (declaredLength ^ (1 << bit)) >>> 0;

		if (start + candidateLength <= bytes.length && hasher.h64Raw(bytes.subarray(start, start + candidateLength)) === checksum) {
			return FrameFault.ChecksumMismatch;
		}
	}

	return FrameFault.TornTail;
}
