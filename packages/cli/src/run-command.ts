import process from 'node:process';
import {type Command, Option} from 'commander';
import {BaseError, FindingsError, formatFindings} from '@fescuestair/core';
import {type ClientOptions} from './client.js';
import {ExitCode} from './exit-codes.js';

type CommonFlags = {readonly control: string; readonly key?: string; readonly json?: boolean};

/** Result of a command: `text` is printed by default, `value` with --json. */
export type CommandResult = {
	readonly text: string;
	readonly value: unknown;
	readonly exitCode?: ExitCode;
};

/** Adds the flags that all commands for control replicas share. */
export function addCommonOptions(command: Command): Command {
	return command
		.addOption(new Option('--control <addresses>', 'comma-separated operator addresses of control replicas').env('FESCUESTAIR_CONTROL').default('127.0.0.1:7300'))
		.addOption(new Option('--key <key>', 'operator key').env('FESCUESTAIR_OPERATOR_KEY'))
		.option('--json', 'print the result as one JSON value');
}

/** Runs a command, prints its result and sets the exit code. */
export async function runCommand(command: Command, run: (options: ClientOptions) => Promise<CommandResult>): Promise<void> {
	const {control, key, json = false} = command.optsWithGlobals<CommonFlags>();

	if (key === undefined) {
		console.error('an operator key is needed: --key or FESCUESTAIR_OPERATOR_KEY');
		process.exitCode = ExitCode.Usage;

		return;
	}

	await runLocalCommand(json, async () => run({addresses: control.split(','), key}));
}

/** The same for a command that needs no operator key. */
export async function runLocalCommand(json: boolean, run: () => Promise<CommandResult>): Promise<void> {
	try {
		const result = await run();
		console.log(json ? JSON.stringify(result.value) : result.text);
		process.exitCode = result.exitCode ?? ExitCode.Done;
	} catch (error) {
		console.error(describeError(error));
		process.exitCode = error instanceof FindingsError ? ExitCode.Usage : ExitCode.Failed;
	}
}

function describeError(error: unknown): string {
	if (error instanceof FindingsError) {
		return formatFindings(error.findings);
	}

	return error instanceof BaseError ? error.message : String(error);
}
