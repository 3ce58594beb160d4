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

Each flag can also be set by an environment variable, such as FESCUESTAIR_NAME for --name.`;

function addSettingFlags(command: Command): Command {
	for (const {flag, description, variable, defaultValue} of settingDefinitions) {
		const defaultText = defaultValue === undefined || defaultValue === '' ? '' : `; default: ${defaultValue}`;
		command.option(`--${flag} <value>`, `${description} (${variable}${defaultText})`);
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

const program = addSettingFlags(new Command('fescuestaird'))
	.description('The daemon of fescuestair: an entry, which serves callers and upstreams, or a control replica')
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

addSettingFlags(program.command('check-settings'))
	.description('validates the settings and reports all findings, without starting the daemon')
	.action((flags: Record<string, string>, command: Command) => {
		readSettingsOrExit({...command.parent?.opts(), ...flags});
		console.log('settings are valid');
	});

await program.parseAsync();
