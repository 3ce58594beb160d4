import test from 'ava';
import {createLogStore, createSimulatedDisk} from '../../index.js';

// After a failed sync, the system may take the written pages for clean: a later sync of the same pages succeeds and stores nothing.
test('a write whose sync failed is not loaded as if it were on the disk', async t => {
	const disk = createSimulatedDisk();
	const {fileSystem} = disk.startProcess();
	let isFailing = false;
	const store = createLogStore({
		folder: '/data',
		fileSystem: {
			...fileSystem,
			async sync(handle) {
				if (isFailing) {
					throw Object.assign(new Error('EIO'), {code: 'EIO'});
				}

				await fileSystem.sync(handle);
			},
		},
	});
	await store.load();
	await store.persist([{entries: [{index: 1, term: 1, payload: 'synced'}]}]);
	isFailing = true;
	await t.throwsAsync(store.persist([{entries: [{index: 2, term: 1, payload: 'not synced'}]}]));
	const reopened = await createLogStore({folder: '/data', fileSystem}).load();
	t.deepEqual(reopened.entries.map(entry => entry.index), [1]);
});
