import {type Buffer} from 'node:buffer';

/** Limit on the nesting depth of arrays and maps in one message; messages of the daemons nest fewer than ten levels. */
const maxDepth = 32;

/** First bytes of MessagePack values. Of a range of consecutive formats only the first and, where needed, the last one are listed. */
enum Format {
	FixMap = 0x80,
	FixArray = 0x90,
	FixString = 0xA0,
	Nil = 0xC0,
	NeverUsed = 0xC1,
	Binary8 = 0xC4,
	Binary32 = 0xC6,
	Extension8 = 0xC7,
	Extension32 = 0xC9,
	Float32 = 0xCA,
	FixExtension1 = 0xD4,
	String8 = 0xD9,
	String32 = 0xDB,
	Array16 = 0xDC,
	Array32 = 0xDD,
	Map16 = 0xDE,
	Map32 = 0xDF,
	NegativeFixInteger = 0xE0,
}

/** Payload sizes, in bytes, of the number formats from `Float32` to the 64-bit signed integer. */
const fixedPayloadBytes = [4, 8, 1, 2, 4, 8, 1, 2, 4, 8];

type ItemHeader = {
	/** Bytes of the item, without its elements. */
	readonly bytes: number;
	/** Number of its elements; keys and values of a map count separately. */
	readonly items: number;
};

/**
Returns whether the bytes are exactly one MessagePack value whose arrays and maps claim no more elements than the remaining bytes can hold.
The decoder allocates an array of the length in its header; without this check a frame of a few bytes could allocate any amount of memory.

@example
```
isBoundedMessagePackValue(Buffer.from([0xDD, 0xFF, 0xFF, 0xFF, 0xFF])); //=> false
```
*/
export function isBoundedMessagePackValue(bytes: Buffer): boolean {
	/** Number of elements still expected at each open nesting level. */
	const remainingItems = [1];
	let position = 0;
	let totalRemainingItems = 1;

	while (remainingItems.length > 0) {
		const level = remainingItems.length - 1;

		if (remainingItems[level] === 0) {
			remainingItems.pop();
			continue;
		}

		const item = position < bytes.length ? readItemHeader(bytes, position) : undefined;

		if (item === undefined) {
			return false;
		}

		remainingItems[level]!--;
		position += item.bytes;
		totalRemainingItems += item.items - 1;

		// Each item takes at least one byte.
		if (position > bytes.length || totalRemainingItems > bytes.length - position || remainingItems.length > maxDepth) {
			return false;
		}

		if (item.items > 0) {
			remainingItems.push(item.items);
		}
	}

	return position === bytes.length;
}

function readItemHeader(bytes: Buffer, position: number): ItemHeader | undefined {
	const format: Format = bytes[position]!;

	if (format < Format.FixMap || format >= Format.NegativeFixInteger) {
		return {bytes: 1, items: 0};
	}

	if (format < Format.FixArray) {
		return {bytes: 1, items: 2 * (format - Format.FixMap)};
	}

	if (format < Format.FixString) {
		return {bytes: 1, items: format - Format.FixArray};
	}

	return format < Format.Nil ? {bytes: 1 + format - Format.FixString, items: 0} : readExtendedItemHeader(bytes, position, format);
}

function readExtendedItemHeader(bytes: Buffer, position: number, format: Format): ItemHeader | undefined {
	if (format < Format.Binary8) {
		return format === Format.NeverUsed ? undefined : {bytes: 1, items: 0};
	}

	if (format <= Format.Binary32) {
		return readVariableLengthItem(bytes, position, {lengthBytes: 2 ** (format - Format.Binary8), typeBytes: 0});
	}

	if (format <= Format.Extension32) {
		return readVariableLengthItem(bytes, position, {lengthBytes: 2 ** (format - Format.Extension8), typeBytes: 1});
	}

	if (format < Format.FixExtension1) {
		return {bytes: 1 + fixedPayloadBytes[format - Format.Float32]!, items: 0};
	}

	if (format < Format.String8) {
		return {bytes: 2 + (2 ** (format - Format.FixExtension1)), items: 0};
	}

	if (format <= Format.String32) {
		return readVariableLengthItem(bytes, position, {lengthBytes: 2 ** (format - Format.String8), typeBytes: 0});
	}

	const lengthBytes = format === Format.Array16 || format === Format.Map16 ? 2 : 4;
	const length = readLength(bytes, position + 1, lengthBytes);

	return length === undefined ? undefined : {bytes: 1 + lengthBytes, items: format >= Format.Map16 ? 2 * length : length};
}

function readVariableLengthItem(bytes: Buffer, position: number, {lengthBytes, typeBytes}: {readonly lengthBytes: number; readonly typeBytes: number}): ItemHeader | undefined {
	const length = readLength(bytes, position + 1, lengthBytes);

	return length === undefined ? undefined : {bytes: 1 + lengthBytes + typeBytes + length, items: 0};
}

function readLength(bytes: Buffer, position: number, lengthBytes: number): number | undefined {
	return position + lengthBytes > bytes.length ? undefined : bytes.readUIntBE(position, lengthBytes);
}
