/* eslint-disable no-await-in-loop, no-void, unicorn/no-process-exit */
// Frame of a script case: writes its record line by line, so that a case that is cut off leaves one too, and ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
import fs from 'node:fs';
import process from 'node:process';

export const hasTrouble = process.env.TROUBLE !== '0';
const limitMs = 115_000;

export async function runCase(recordFile, play) {
	const startedAtMs = Date.now();
	const cleanups = [];
	fs.writeFileSync(recordFile, '');
	const note = (text, fields) => {
		fs.appendFileSync(recordFile, `${String(Date.now() - startedAtMs).padStart(6)} ms  ${text}${fields === undefined ? '' : ` ${JSON.stringify(fields)}`}\n`);
	};

	let code = 2;
	const finish = async () => {
		for (const cleanup of cleanups.toReversed()) {
			try {
				await cleanup();
			} catch (error) {
				note('clean-up failed', {reason: String(error)});
			}
		}

		process.exit(code);
	};

	const timer = setTimeout(() => {
		note('the case took too long');
		code = 2;
		void finish();
	}, limitMs);
	note('begins', {trouble: hasTrouble});

	try {
		const isBroken = await play({note, addCleanup: cleanup => cleanups.push(cleanup)});
		code = isBroken ? 1 : 0;
		note(isBroken ? 'the rule was broken' : 'the rule held');
	} catch (error) {
		note('the case could not run', {reason: error.stack});
	}

	clearTimeout(timer);
	await finish();
}
