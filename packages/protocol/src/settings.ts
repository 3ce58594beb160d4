import {z} from 'zod';
import {createFinding, FindingsError, type Finding} from '@fescuestair/core';

/** One setting: a flag with an environment variable of the same meaning. */
export type SettingDefinition = {
	readonly flag: string;
	readonly variable: string;
	readonly description: string;
	readonly schema: z.ZodType;
	readonly defaultValue: string | undefined;
};

export type SettingValues = Readonly<Record<string, unknown>>;

const prefix = 'FESCUESTAIR_';

type DefineOptions = {
	readonly description: string;
	readonly schema?: z.ZodType;
	readonly defaultValue?: string;
};

/**
Defines a setting by the name of its flag.

@example
```
defineSetting('listen', {description: 'ip:port for callers', defaultValue: '127.0.0.1:7000'}).variable; //=> 'FESCUESTAIR_LISTEN'
```
*/
export function defineSetting(flag: string, {description, schema = z.string(), defaultValue}: DefineOptions): SettingDefinition {
	return {
		flag, variable: prefix + flag.toUpperCase().replaceAll('-', '_'), description, schema, defaultValue,
	};
}

type Sources = {
	readonly flags: Readonly<Record<string, string | undefined>>;
	readonly environment: Readonly<Record<string, string | undefined>>;
};

/**
Reads settings, flags before variables before defaults, and throws all findings together.

@example
```
const {listen} = readSettings(definitions, {flags: program.opts(), environment: process.env});
```
*/
export function readSettings(definitions: readonly SettingDefinition[], {flags, environment}: Sources): SettingValues {
	const findings: Finding[] = [];
	const values: Record<string, unknown> = {};

	for (const definition of definitions) {
		const name = toCamelCase(definition.flag);
		const flagValue = flags[name];
		const variableValue = environment[definition.variable];
		const place = flagValue === undefined && variableValue !== undefined ? definition.variable : `--${definition.flag}`;
		const result = definition.schema.safeParse(flagValue ?? variableValue ?? definition.defaultValue);

		if (result.success) {
			values[name] = result.data;
		} else {
			findings.push(...result.error.issues.map(issue => createFinding(place, issue.message)));
		}
	}

	findings.push(...findUnknownVariables(definitions, environment));

	if (findings.length > 0) {
		throw new FindingsError(findings);
	}

	return values;
}

function findUnknownVariables(definitions: readonly SettingDefinition[], environment: Sources['environment']): Finding[] {
	const known = new Set(definitions.map(definition => definition.variable));

	return Object.keys(environment)
		.filter(variable => variable.startsWith(prefix) && !known.has(variable))
		.map(variable => createFinding(variable, 'is not a setting of this program'));
}

function toCamelCase(flag: string): string {
	return flag.replaceAll(/-(?<letter>[a-z])/gv, (_, letter: string) => letter.toUpperCase());
}
