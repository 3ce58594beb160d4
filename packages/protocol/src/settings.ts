import {z} from 'zod';
import {createFinding, FindingsError, type Finding} from '@fescuestair/core';

/** One setting: a command-line flag and the equivalent environment variable. */
export type SettingDefinition = {
	readonly flag: string;
	readonly variable: string;
	readonly description: string;
	readonly schema: z.ZodType;
	readonly defaultValue: string | undefined;
};

export type SettingValues = Readonly<Record<string, unknown>>;

const variablePrefix = 'FESCUESTAIR_';

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
		flag, variable: variablePrefix + flag.toUpperCase().replaceAll('-', '_'), description, schema, defaultValue,
	};
}

type SettingSources = {
	readonly flags: Readonly<Record<string, string | undefined>>;
	readonly environment: Readonly<Record<string, string | undefined>>;
};

/**
Reads settings: a flag takes precedence over an environment variable, and a variable over the default. Throws one `FindingsError` with all
findings; an unknown variable with the prefix of the system is one of them.

@example
```
const {listen} = readSettings(definitions, {flags: program.opts(), environment: process.env});
```
*/
export function readSettings(definitions: readonly SettingDefinition[], {flags, environment}: SettingSources): SettingValues {
	const findings: Finding[] = [];
	const values: Record<string, unknown> = {};

	for (const definition of definitions) {
		const name = toCamelCase(definition.flag);
		const flagValue = flags[name];
		const variableValue = environment[definition.variable];
		const source = flagValue === undefined && variableValue !== undefined ? definition.variable : `--${definition.flag}`;
		const result = definition.schema.safeParse(flagValue ?? variableValue ?? definition.defaultValue);

		if (result.success) {
			values[name] = result.data;
		} else {
			findings.push(...result.error.issues.map(issue => createFinding(source, issue.message)));
		}
	}

	findings.push(...findUnknownVariables(definitions, environment));

	if (findings.length > 0) {
		throw new FindingsError(findings);
	}

	return values;
}

function findUnknownVariables(definitions: readonly SettingDefinition[], environment: SettingSources['environment']): Finding[] {
	const known = new Set(definitions.map(definition => definition.variable));

	return Object.keys(environment)
		.filter(variable => variable.startsWith(variablePrefix) && !known.has(variable))
		.map(variable => createFinding(variable, 'is not a setting of this program'));
}

function toCamelCase(flag: string): string {
	return flag.replaceAll(/-(?<letter>[a-z])/gv, (_, letter: string) => letter.toUpperCase());
}
