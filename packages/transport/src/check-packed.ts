import {type Buffer} from 'node:buffer';

/** Levels of lists and maps in one message; those of the daemons have fewer than ten. */
const maxDepth = 32;

enum Tag {
	FixMap = 0x80,
	FixList = 0x90,
	FixText = 0xA0,
	Nil = 0xC0,
	Unused = 0xC1,
	Bytes8 = 0xC4,
	Bytes32 = 0xC6,
	Extension8 = 0xC7,
	Extension32 = 0xC9,
	Float32 = 0xCA,
	FixExtension1 = 0xD4,
	Text8 = 0xD9,
	Text32 = 0xDB,
	List16 = 0xDC,
	List32 = 0xDD,
	Map16 = 0xDE,
	Map32 = 0xDF,
	NegativeFixNumber = 0xE0,
}

/** Bytes after the tags from `Float32` to the last of the fixed numbers. */
const numberBytes = [4, 8, 1, 2, 4, 8, 1, 2, 4, 8];

type Item = {
	/** Bytes of the item without the items inside it. */
	readonly bytes: number;
	/** Items inside it. */
	readonly items: number;
};

/**
Tells whether bytes hold exactly one MessagePack value whose lists and maps are no longer than the bytes that are there. A decoder allocates
a list by the length that its header names; without this check a frame of a few bytes takes any amount of memory.

@example
```
isPackedValue(Buffer.from([0xDD, 0xFF, 0xFF, 0xFF, 0xFF])); //=> false
```
*/
export function isPackedValue(bytes: Buffer): boolean {
	/** Items that are still owed at each open level. */
	const owed = [1];
	let position = 0;
	let totalOwed = 1;

	while (owed.length > 0) {
		const level = owed.length - 1;

		if (owed[level] === 0) {
			owed.pop();
			continue;
		}

		const item = position < bytes.length ? readItem(bytes, position) : undefined;

		if (item === undefined) {
			return false;
		}

		owed[level]!--;
		position += item.bytes;
		totalOwed += item.items - 1;

		// Each item takes one byte at least.
		if (position > bytes.length || totalOwed > bytes.length - position || owed.length > maxDepth) {
			return false;
		}

		if (item.items > 0) {
			owed.push(item.items);
		}
	}

	return position === bytes.length;
}

function readItem(bytes: Buffer, position: number): Item | undefined {
	const tag: Tag = bytes[position]!;

	if (tag < Tag.FixMap || tag >= Tag.NegativeFixNumber) {
		return {bytes: 1, items: 0};
	}

	if (tag < Tag.FixList) {
		return {bytes: 1, items: 2 * (tag - Tag.FixMap)};
	}

	if (tag < Tag.FixText) {
		return {bytes: 1, items: tag - Tag.FixList};
	}

	return tag < Tag.Nil ? {bytes: 1 + tag - Tag.FixText, items: 0} : readLongItem(bytes, position, tag);
}

function readLongItem(bytes: Buffer, position: number, tag: Tag): Item | undefined {
	if (tag < Tag.Bytes8) {
		return tag === Tag.Unused ? undefined : {bytes: 1, items: 0};
	}

	if (tag <= Tag.Bytes32) {
		return readSized(bytes, position, {width: 2 ** (tag - Tag.Bytes8), extra: 0});
	}

	if (tag <= Tag.Extension32) {
		return readSized(bytes, position, {width: 2 ** (tag - Tag.Extension8), extra: 1});
	}

	if (tag < Tag.FixExtension1) {
		return {bytes: 1 + numberBytes[tag - Tag.Float32]!, items: 0};
	}

	if (tag < Tag.Text8) {
		return {bytes: 2 + (2 ** (tag - Tag.FixExtension1)), items: 0};
	}

	if (tag <= Tag.Text32) {
		return readSized(bytes, position, {width: 2 ** (tag - Tag.Text8), extra: 0});
	}

	const width = tag === Tag.List16 || tag === Tag.Map16 ? 2 : 4;
	const length = readLength(bytes, position + 1, width);

	return length === undefined ? undefined : {bytes: 1 + width, items: tag >= Tag.Map16 ? 2 * length : length};
}

function readSized(bytes: Buffer, position: number, {width, extra}: {readonly width: number; readonly extra: number}): Item | undefined {
	const length = readLength(bytes, position + 1, width);

	return length === undefined ? undefined : {bytes: 1 + width + extra + length, items: 0};
}

function readLength(bytes: Buffer, position: number, width: number): number | undefined {
	return position + width > bytes.length ? undefined : bytes.readUIntBE(position, width);
}
