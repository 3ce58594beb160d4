import {type Command} from 'commander';
import {
	CommandResponseKind, diffItems, formatDiff, ItemKind, type ConfigItem, type HistoryEntry,
} from '@fescuestair/state';
import {callControl} from './client.js';
import {describeAnswer, sendChange} from './change-config.js';
import {ExitCode} from './exit-codes.js';
import {formatTable} from './tables.js';
import {loadDeclarations} from './declaration-files.js';
import {addCommonOptions, runCommand} from './run-command.js';

function isDeclared(item: ConfigItem): boolean {
	return item.kind !== ItemKind.Drain;
}

/** Adds `config show`, `config history` and `config apply`. */
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

	addCommonOptions(config.command('apply <paths...>'))
		.description('replaces the configuration by the declarations in the files')
		.option('--dry-run', 'show the changes without applying them')
		.option('--preset <name>', 'also put this preset in force, in the same change')
		.action(async (paths: string[], flags: {dryRun?: boolean; preset?: string}, command: Command) => {
			await runCommand(command, async options => {
				const declared = await loadDeclarations(paths);
				const current = await callControl(options, async client => client.config.query());
				const before = new Map((current.items).filter(item => isDeclared(item)).map(item => [`${item.kind}/${item.name}`, item]));
				const diff = diffItems(before, declared);
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
