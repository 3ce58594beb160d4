import {type Command} from 'commander';
import {type RequestHistory} from '@fescuestair/protocol';
import {callControl} from './client.js';
import {ExitCode} from './exit-codes.js';
import {formatRequestTrace} from './format-request-trace.js';
import {addCommonOptions, runCommand} from './run-command.js';

/** Adds `trace`. */
export function addTraceCommands(program: Command): void {
	addCommonOptions(program.command('trace <request>')).description('shows the recorded events of a request').action(async (requestId: string, _, command: Command) => {
		await runCommand(command, async options => {
			const fate = await callControl(options, async client => client.trace.query({requestId}) as Promise<RequestHistory | undefined>);

			return fate === undefined
				? {text: `no events are recorded for request ${requestId}`, value: null, exitCode: ExitCode.NotFound}
				: {text: formatRequestTrace(fate), value: fate};
		});
	});
}
