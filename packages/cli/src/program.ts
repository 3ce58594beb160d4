import {Command} from 'commander';
import {addConfigCommands} from './config-commands.js';
import {addControlCommands} from './control-commands.js';
import {addExplainCommands} from './explain-commands.js';
import {addPresetCommands} from './preset-commands.js';
import {addTraceCommands} from './trace-commands.js';

const version = '0.1.0';

const examples = `
Examples:
  fescuestair config check declarations/ --against 127.0.0.1:7300 --strict
  fescuestair config apply declarations/ --dry-run
  fescuestair preset apply peak
  fescuestair trace r-0mabcdefg-9f86d081884c7d65
  fescuestair status --json
  fescuestair explain 9c41d07be2a35f68 front-1.log front-2.log.gz

--control and --key can also be set by FESCUESTAIR_CONTROL and FESCUESTAIR_OPERATOR_KEY.
Exit codes: 0 done, 1 failed or warnings of a strict check, 2 invalid flags or declarations, 3 another change came first, 4 not found.`;

/** Creates the program with all its commands. */
export function createProgram(): Command {
	const program = new Command('fescuestair')
		.description('Command line of fescuestair for operators and support engineers')
		.version(version)
		.addHelpText('after', examples);
	addPresetCommands(program);
	addConfigCommands(program);
	addControlCommands(program);
	addTraceCommands(program);
	addExplainCommands(program);

	return program;
}
