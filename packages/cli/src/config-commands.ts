import {isIPv4} from 'node:net';
import {type Command, Option} from 'commander';
import {createFinding, FindingsError} from '@fescuestair/core';
import {
	CommandResponseKind, diffItems, formatDiff, type HistoryEntry,
} from '@fescuestair/state';
import {callControl} from './client.js';
import {describeAnswer, sendChange} from './change-config.js';
import {ExitCode} from './exit-codes.js';
import {formatTable} from './tables.js';
import {
	checkDeclarations, formatDeclarationCheck, listDeclared, type OtherItems,
} from './check-declarations.js';
import {loadDeclarations, readDeclarationFiles} from './declaration-files.js';
import {addCommonOptions, runCommand, runLocalCommand} from './run-command.js';

type CheckFlags = {readonly against?: string; readonly strict?: boolean; readonly key?: string; readonly json?: boolean; readonly output: OutputFormat};

enum OutputFormat {
	Text = 'text',
	Json = 'json',
}

/** Adds `config show`, `config history`, `config check` and `config apply`. */
export function addConfigCommands(program: Command): void {
	const config = program.command('config').description('manages the configuration, which is declared in files');

	addCommonOptions(config.command('show')).description('shows the configuration in force').action(async (_, command: Command) => {
		await runCommand(command, async options => {
			const current = await callControl(options, async client => client.config.query());

			return {text: JSON.stringify(current, undefined, 2), value: current};
		});
	});

	addCommonOptions(config.command('history')).description('lists the changes: who made them, when, and what they changed').action(async (_, command: Command) => {
		await runCommand(command, async options => {
			const history = await callControl(options, async client => client.history.query() as Promise<readonly HistoryEntry[]>);
			const rows = history.map(entry => [String(entry.version), new Date(entry.wallMs).toISOString(), entry.actor, entry.summary]);

			return {text: formatTable(['version', 'time', 'actor', 'change'], rows), value: history};
		});
	});

	addCommonOptions(config.command('check <paths...>'))
		.description('checks declarations before they are applied, and changes nothing: errors, what is declared in vain or contradicts itself, and what differs from the configuration in force')
		.option('--against <path|address>', 'other declarations, or the operator address of a control replica: shows what differs')
		.option('--strict', 'ends with 1 if there are warnings')
		.addOption(new Option('--output <format>', 'json is the same as --json').choices(Object.values(OutputFormat)).default(OutputFormat.Text))
		.action(async (paths: string[], {strict = false}: CheckFlags, command: Command) => {
			const {against, key, json = false, output} = command.optsWithGlobals<CheckFlags>();

			await runLocalCommand(json || output === OutputFormat.Json, async () => {
				const check = checkDeclarations(await readDeclarationFiles(paths), against === undefined ? undefined : await readOther(against, key));
				const warningsExitCode = strict && check.warnings.length > 0 ? ExitCode.Failed : ExitCode.Done;

				return {text: formatDeclarationCheck(check), value: check, exitCode: check.isValid ? warningsExitCode : ExitCode.Usage};
			});
		});

	addCommonOptions(config.command('apply <paths...>'))
		.description('replaces the configuration by the declarations in the files')
		.option('--dry-run', 'show the changes without applying them')
		.option('--preset <name>', 'also put this preset in force, in the same change')
		.action(async (paths: string[], flags: {dryRun?: boolean; preset?: string}, command: Command) => {
			await runCommand(command, async options => {
				const declared = await loadDeclarations(paths);
				const current = await callControl(options, async client => client.config.query());
				const diff = diffItems(listDeclared(current.items), declared);
				const text = formatDiff(diff);

				if (flags.dryRun === true || (diff.lines.length === 0 && flags.preset === undefined)) {
					return {text, value: diff};
				}

				const answer = await sendChange(options, {
					upserts: diff.upserts,
					removals: diff.removals,
					presetInForce: flags.preset,
					summary: `apply ${paths.join(' ')}: ${diff.upserts.length} changed, ${diff.removals.length} removed`,
					expectedVersion: current.version,
				});
				const exitCode = answer.kind === CommandResponseKind.Accepted ? ExitCode.Done : (answer.kind === CommandResponseKind.VersionConflict ? ExitCode.Conflict : ExitCode.Usage);

				return {text: `${text}\n${describeAnswer(answer)}`, value: {diff, answer}, exitCode};
			});
		});
}

async function readOther(place: string, key: string | undefined): Promise<OtherItems> {
	if (!isAddress(place)) {
		const items = await loadDeclarations([place]);

		return {name: place, items: [...items.values()]};
	}

	if (key === undefined) {
		throw new FindingsError([createFinding('--key', 'is needed to read the configuration in force; or set FESCUESTAIR_OPERATOR_KEY')]);
	}

	const {version, items, inForce} = await callControl({addresses: [place], key}, async client => client.config.query());

	return {name: `configuration version ${version}`, items, presetInForce: inForce};
}

function isAddress(place: string): boolean {
	const [host = '', port = '', ...rest] = place.split(':');

	return rest.length === 0 && (isIPv4(host) || host === 'localhost') && /^\d{1,5}$/v.test(port);
}
