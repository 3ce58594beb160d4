import test from 'ava';
import {encodeFrame, FrameFault, readFrames} from '../../index.js';

const validFrame = encodeFrame({term: 3});
const lastFrame = encodeFrame([{entries: [{index: 1, term: 3, payload: 'a configuration that was being written as the power went'}]}]);

// Guards against a start that is refused after a power loss: the file has its full length, but a range of the last, unacknowledged write
// was never stored and reads as zeros.
test('a last frame of full length with a range of zeros is a torn tail, wherever the range begins', t => {
	for (let start = 0; start + 16 <= lastFrame.length; start++) {
		const torn = [...lastFrame];
		torn.fill(0, start, start + 16);
		const scan = readFrames(new Uint8Array([...validFrame, ...torn]));
		t.is(scan.fault, FrameFault.TornTail, `zeros from byte ${start}`);
		t.is(scan.validBytes, validFrame.length);
	}
});

test('a damaged frame before an intact one is a checksum mismatch, not a torn tail', t => {
	const torn = [...lastFrame];
	torn.fill(0, 20, 40);
	t.is(readFrames(new Uint8Array([...torn, ...validFrame])).fault, FrameFault.ChecksumMismatch);
});
