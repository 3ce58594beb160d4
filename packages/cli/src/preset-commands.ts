import {type Command} from 'commander';
import {createFinding, FindingsError} from '@fescuestair/core';
import {
	CommandResponseKind, diffItems, formatDiff, ItemKind, itemSchemas, type ConfigItem, type PresetItem,
} from '@fescuestair/state';
import {callControl, type ClientOptions} from './client.js';
import {describeAnswer, sendChange} from './change-config.js';
import {ExitCode} from './exit-codes.js';
import {formatTable} from './tables.js';
import {loadDeclarations} from './declaration-files.js';
import {addCommonOptions, runCommand, type CommandResult} from './run-command.js';

type CurrentConfig = {readonly version: number; readonly inForce: string | undefined; readonly items: readonly ConfigItem[]};

async function getConfig(options: ClientOptions): Promise<CurrentConfig> {
	return callControl(options, async client => client.config.query() as Promise<CurrentConfig>);
}

function listPresets(config: CurrentConfig): readonly PresetItem[] {
	return config.items.filter((item): item is PresetItem => item.kind === ItemKind.Preset);
}

function requirePreset(config: CurrentConfig, name: string): PresetItem {
	const preset = listPresets(config).find(item => item.name === name);

	if (preset === undefined) {
		throw new FindingsError([createFinding(name, `is no preset; there are ${listPresets(config).map(item => item.name).join(', ') || 'none'}`)]);
	}

	return preset;
}

type PresetChange = Omit<Parameters<typeof sendChange>[1], 'expectedVersion'>;

async function sendPresetChange(options: ClientOptions, config: CurrentConfig, change: PresetChange): Promise<CommandResult> {
	const answer = await sendChange(options, {...change, expectedVersion: config.version});
	const exitCode = answer.kind === CommandResponseKind.Accepted ? ExitCode.Done : (answer.kind === CommandResponseKind.VersionConflict ? ExitCode.Conflict : ExitCode.Usage);

	return {text: describeAnswer(answer), value: answer, exitCode};
}

/** Returns a copy of a preset with fields set by their paths, such as `limits.long.concurrent=2`. */
export function adjustPreset(preset: PresetItem, assignments: readonly string[]): PresetItem {
	const adjusted = structuredClone(preset) as Record<string, unknown>;

	for (const assignment of assignments) {
		const [path = '', text = ''] = assignment.split('=', 2);
		const keys = path.split('.');
		const last = keys.pop()!;
		let target = adjusted;

		for (const key of keys) {
			target = target[key] as Record<string, unknown>;
		}

		if (typeof target !== 'object' || !(last in target)) {
			throw new FindingsError([createFinding(path, 'is no field of a preset')]);
		}

		target[last] = parseValue(text);
	}

	const result = itemSchemas[ItemKind.Preset].safeParse(adjusted);

	if (!result.success) {
		throw new FindingsError(result.error.issues.map(issue => createFinding(issue.path.join('.'), issue.message)));
	}

	return result.data;
}

function parseValue(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return text;
	}
}

/** Adds `preset list`, `show`, `diff`, `create`, `adjust` and `apply`. */
export function addPresetCommands(program: Command): void {
	const preset = program.command('preset').description('manages presets, exactly one of which is in force');

	addCommonOptions(preset.command('list')).description('lists the presets').action(async (_, command: Command) => {
		await runCommand(command, async options => {
			const config = await getConfig(options);
			const rows = listPresets(config).map(item => [item.name === config.inForce ? '*' : '', item.name, item.description]);

			return {text: formatTable(['in force', 'name', 'description'], rows), value: {inForce: config.inForce, presets: listPresets(config)}};
		});
	});

	addCommonOptions(preset.command('show <name>')).description('shows a preset').action(async (name: string, _, command: Command) => {
		await runCommand(command, async options => {
			const found = requirePreset(await getConfig(options), name);

			return {text: JSON.stringify(found, undefined, 2), value: found};
		});
	});

	addCommonOptions(preset.command('diff <from> <to>')).description('shows the differences between two presets').action(async (from: string, to: string, _, command: Command) => {
		await runCommand(command, async options => {
			const config = await getConfig(options);
			const key = `${from} -> ${to}`;
			const target = {...requirePreset(config, to), name: from, description: ''};
			const diff = diffItems(new Map([[key, {...requirePreset(config, from), description: ''}]]), new Map([[key, target]]));

			return {text: formatDiff(diff), value: diff.lines};
		});
	});

	addCommonOptions(preset.command('create <file>')).description('adds or replaces the presets declared in a file').action(async (file: string, _, command: Command) => {
		await runCommand(command, async options => {
			const items = await loadDeclarations([file]);
			const upserts = [...items].filter(([, item]) => item.kind === ItemKind.Preset);

			return sendPresetChange(options, await getConfig(options), {upserts, removals: [], summary: `create ${upserts.map(([key]) => key).join(', ')}`});
		});
	});

	addCommonOptions(preset.command('adjust <name> <field=value...>')).description('changes fields of a preset; takes effect at once if the preset is in force')
		.action(async (name: string, assignments: string[], _, command: Command) => {
			await runCommand(command, async options => {
				const config = await getConfig(options);
				const adjusted = adjustPreset(requirePreset(config, name), assignments);

				return sendPresetChange(options, config, {
					upserts: [[`${ItemKind.Preset}/${name}`, adjusted]], removals: [], summary: `adjust ${name}: ${assignments.join(' ')}`,
				});
			});
		});

	addCommonOptions(preset.command('apply <name>')).description('puts a preset in force').action(async (name: string, _, command: Command) => {
		await runCommand(command, async options => {
			const config = await getConfig(options);
			requirePreset(config, name);

			return sendPresetChange(options, config, {
				upserts: [], removals: [], presetInForce: name, summary: `put preset ${name} in force`,
			});
		});
	});
}
