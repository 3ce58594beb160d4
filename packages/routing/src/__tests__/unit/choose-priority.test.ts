import test from 'ava';
import {choosePriority, createInstanceLoad} from '../../index.js';

test('a request keeps its rank where memory is free, and takes none from those that run where it is not', t => {
	const question = {priority: 0, heldTokens: 2400, cacheTokens: 94_000};
	t.is(choosePriority({...question, load: {...createInstanceLoad(), ownHeldTokens: 24_000, peers: {requests: 2, heldTokens: 24_000}}}), 0);
	const full = {...createInstanceLoad(), ownHeldTokens: 24_000, peers: {requests: 5, heldTokens: 60_000}};
	t.is(choosePriority({...question, load: full}), choosePriority({...question, priority: 7, load: full}));
});
