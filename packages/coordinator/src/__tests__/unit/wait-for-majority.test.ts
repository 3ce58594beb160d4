import test from 'ava';
import {waitForMajority} from '../../wait-for-majority.js';

const accept = async () => 'saved';
const refuse = async () => {
	throw new Error('the disk is full');
};

const waitForever = async () => new Promise<void>(() => {
	// Never settles.
});

test('a majority of all voters is enough, whatever becomes of the others', async t => {
	await t.notThrowsAsync(async () => waitForMajority({votes: [accept(), refuse(), accept(), waitForever(), accept()], voterCount: 5}));
	await t.notThrowsAsync(async () => waitForMajority({votes: [accept()], voterCount: 1}));
});

test('it fails as soon as no majority can be reached, also where voters could not be asked', async t => {
	await t.throwsAsync(async () => waitForMajority({votes: [accept(), refuse(), refuse(), refuse(), waitForever()], voterCount: 5}), {message: '1 of 5 voters, where 3 are needed'});
	await t.throwsAsync(async () => waitForMajority({votes: [waitForever()], voterCount: 3}));
	await t.throwsAsync(async () => waitForMajority({votes: [], voterCount: 0}));
});
