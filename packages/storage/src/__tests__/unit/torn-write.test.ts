import test from 'ava';
import {encodeFrame, FrameFault, readFrames} from '../../index.js';

const good = encodeFrame({term: 3});
const last = encodeFrame([{entries: [{index: 1, term: 3, payload: 'a configuration that was being written as the power went'}]}]);

test('a last write that kept its length and lost a part is a torn tail, wherever the part was', t => {
	for (let from = 0; from + 16 <= last.length; from++) {
		const torn = [...last];
		torn.fill(0, from, from + 16);
		const scan = readFrames(new Uint8Array([...good, ...torn]));
		t.is(scan.fault, FrameFault.TornTail, `zeros from byte ${from}`);
		t.is(scan.goodBytes, good.length);
	}
});

test('a damaged frame before a whole one is no torn tail', t => {
	const torn = [...last];
	torn.fill(0, 20, 40);
	t.is(readFrames(new Uint8Array([...torn, ...good])).fault, FrameFault.BadChecksum);
});
