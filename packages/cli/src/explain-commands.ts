import {Buffer} from 'node:buffer';
import fs from 'node:fs/promises';
import process from 'node:process';
import {gunzipSync} from 'node:zlib';
import {type Command} from 'commander';
import {readAllBytes} from '@fescuestair/transport';
import {ExitCode} from './exit-codes.js';
import {explainRequest, formatExplanation, parseLogLines} from './explain.js';

const gzipMagic = [0x1F, 0x8B];

/** Adds `explain`. */
export function addExplainCommands(program: Command): void {
	program.command('explain <request> [files...]')
		.description('explains from the logs of the daemons what happened to a request and why; reads standard input if no files are given; accepts gzip')
		.option('--json', 'print JSON')
		.action(async (requestId: string, files: readonly string[], {json}: {readonly json?: boolean}) => {
			const inputs = files.length === 0 ? [(await readAllBytes(process.stdin))!] : await Promise.all(files.map(async file => fs.readFile(file)));
			const explanation = explainRequest(requestId, inputs.flatMap(input => parseLogLines(readText(input))));
			console.log(json === true ? JSON.stringify(explanation) : formatExplanation(explanation));
			process.exitCode = explanation.lines.length === 0 ? ExitCode.NotFound : ExitCode.Done;
		});
}

function readText(input: Uint8Array): string {
	const isGzipped = gzipMagic.every((byte, position) => input[position] === byte);

	return Buffer.from(isGzipped ? gunzipSync(input) : input).toString('utf8');
}
