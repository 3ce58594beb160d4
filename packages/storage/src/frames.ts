import {Buffer} from 'node:buffer';
import {Packr} from 'msgpackr';
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();
const packr = new Packr({useRecords: false, structuredClone: false, int64AsType: 'number'});
const lengthBytes = 4;
const checksumBytes = 8;
const headerBytes = lengthBytes + checksumBytes;
/** Longer than any run of zeros in a number that the codec writes. */
const unwrittenRunBytes = 8;

/** Why a scan ended before the end of the file. */
export enum FrameFault {
	None = 'none',
	/** The file ends inside a frame: the last write was cut short and was never acknowledged. */
	TornTail = 'torn_tail',
	/** A whole frame does not match its checksum. */
	BadChecksum = 'bad_checksum',
}

export type FrameScan = {
	readonly payloads: readonly unknown[];
	/** Bytes up to the end of the last good frame. */
	readonly goodBytes: number;
	readonly fault: FrameFault;
};

/**
Encodes a value as one frame: length, 64-bit checksum, MessagePack payload.

@example
```
await handle.write(encodeFrame({term: 3}));
```
*/
export function encodeFrame(value: unknown): Uint8Array {
	const payload = packr.pack(value);
	const frame = Buffer.allocUnsafe(headerBytes + payload.length);
	frame.writeUInt32LE(payload.length, 0);
	frame.writeBigUInt64LE(hasher.h64Raw(payload), lengthBytes);
	payload.copy(frame, headerBytes);

	return frame;
}

/** Decodes a MessagePack payload. */
export function decodePayload(bytes: Uint8Array): unknown {
	return packr.unpack(bytes) as unknown;
}

/**
Reads all frames up to the first fault.

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
			return {payloads, goodBytes: offset, fault: FrameFault.TornTail};
		}

		const end = offset + headerBytes + view.getUint32(offset, true);

		if (end > bytes.length) {
			return {payloads, goodBytes: offset, fault: classifyShortFrame(bytes, view, offset)};
		}

		const payload = bytes.subarray(offset + headerBytes, end);

		if (hasher.h64Raw(payload) !== view.getBigUint64(offset + lengthBytes, true)) {
			const isTorn = isLastWrite(bytes, offset, end) && hasUnwrittenPart(bytes, offset);

			return {payloads, goodBytes: offset, fault: isTorn ? FrameFault.TornTail : FrameFault.BadChecksum};
		}

		payloads.push(decodePayload(payload));
		offset = end;
	}

	return {payloads, goodBytes: offset, fault: FrameFault.None};
}

// An unwritten header reads as length 0, so what follows it is no frame either.
function isLastWrite(bytes: Uint8Array, offset: number, end: number): boolean {
	return end === bytes.length || end === offset + headerBytes;
}

// A power loss can leave the file at its full length with parts of the last, unacknowledged write missing: they read as zeros, in runs
// that no encoded payload has.
function hasUnwrittenPart(bytes: Uint8Array, offset: number): boolean {
	let run = 0;

	for (let position = offset; position < bytes.length; position++) {
		run = bytes[position] === 0 ? run + 1 : 0;

		if (run >= unwrittenRunBytes) {
			return true;
		}
	}

	return false;
}

// A flipped bit in a length field can make a whole frame look cut short. What follows the header then still
// hashes to the stored checksum at some shorter length, which a write that was really cut short cannot do.
function classifyShortFrame(bytes: Uint8Array, view: DataView, offset: number): FrameFault {
	const checksum = view.getBigUint64(offset + lengthBytes, true);
	const declared = view.getUint32(offset, true);
	const start = offset + headerBytes;

	for (let bit = 0; bit < 32; bit++) {
		// eslint-disable-next-line no-bitwise
		const candidate = (declared ^ (1 << bit)) >>> 0;

		if (start + candidate <= bytes.length && hasher.h64Raw(bytes.subarray(start, start + candidate)) === checksum) {
			return FrameFault.BadChecksum;
		}
	}

	return FrameFault.TornTail;
}
