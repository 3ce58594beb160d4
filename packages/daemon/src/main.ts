#!/usr/bin/env node
import process from 'node:process';
import {Command} from 'commander';
import {FindingsError, formatFindings} from '@fescuestair/core';
import {checkSettings, settingDefinitions} from './daemon-settings.js';
import {runDaemon} from './run-daemon.js';

const version = '0.1.0';
const usageExitCode = 2;

const examples = `
Examples:
  fescuestaird --role control --name control-1 --availability-zone north --data-folder data --cluster-keys-file cluster.keys --operator-keys-file operator.keys
  fescuestaird --role entry --name entry-1 --availability-zone north --control 127.0.0.1:7200 --peer-listen 127.0.0.1:7201 --cluster-keys-file cluster.keys --join-keys-file join.keys
  fescuestaird check-settings --role entry --name entry-1

Each flag may be given as an environment variable instead, such as FESCUESTAIR_NAME for --name.`;

function addSettings(command: Command): Command {
	for (const {flag, description, variable, defaultValue} of settingDefinitions) {
		const note = defaultValue === undefined || defaultValue === '' ? '' : `; ${defaultValue} where not given`;
		command.option(`--${flag} <value>`, `${description} (${variable}${note})`);
	}

	return command;
}

function readSettingsOrExit(flags: Record<string, string>) {
	try {
		return checkSettings({flags, environment: process.env});
	} catch (error) {
		if (!(error instanceof FindingsError)) {
			throw error;
		}

		console.error(formatFindings(error.findings));
		process.exit(usageExitCode);
	}
}

const program = addSettings(new Command('fescuestaird'))
	.description('The daemon of fescuestair: an entry for callers and upstreams, or a control replica')
	.version(version)
	.addHelpText('after', examples)
	.action(async (flags: Record<string, string>) => {
		try {
			await runDaemon(readSettingsOrExit(flags));
		} catch (error) {
			console.error(error instanceof FindingsError ? formatFindings(error.findings) : error);
			process.exit(error instanceof FindingsError ? usageExitCode : 1);
		}
	});

addSettings(program.command('check-settings'))
	.description('checks the settings, reports all findings together, and starts nothing')
	.action((flags: Record<string, string>, command: Command) => {
		readSettingsOrExit({...command.parent?.opts(), ...flags});
		console.log('settings are good');
	});

await program.parseAsync();
