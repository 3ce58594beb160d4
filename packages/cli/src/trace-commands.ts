import {type Command} from 'commander';
import {type Fate} from '@fescuestair/protocol';
import {callControl} from './client.js';
import {ExitCode} from './exit-codes.js';
import {formatFate} from './format-fate.js';
import {addCommonOptions, runCommand} from './run-command.js';

/** Adds `trace`. */
export function addTraceCommands(program: Command): void {
	addCommonOptions(program.command('trace <request>')).description('tells what became of a request').action(async (requestId: string, _, command: Command) => {
		await runCommand(command, async options => {
			const fate = await callControl(options, async client => client.trace.query({requestId}) as Promise<Fate | undefined>);

			return fate === undefined
				? {text: `nothing is recorded of ${requestId}`, value: null, exitCode: ExitCode.NotFound}
				: {text: formatFate(fate), value: fate};
		});
	});
}
