import {type TrafficConfig} from './types.js';

export enum ChangeKind {
	Added = 'added',
	Removed = 'removed',
	Changed = 'changed',
}

/** One difference between two configurations. */
export type ConfigChange = {
	readonly kind: ChangeKind;
	/** What differs, as `route works (guides.example/works/)`. */
	readonly subject: string;
	/** Of what has changed; keys are counted, never shown. */
	readonly fields: readonly FieldChange[];
};

export type FieldChange = {readonly name: string; readonly before: unknown; readonly after: unknown};

type Fields = Readonly<Record<string, unknown>>;
type Entry = {readonly subject: string; readonly fields: Fields; readonly keys?: readonly string[]};

/**
Lists what differs between two configurations. Routes are the same where host and path prefix are; services and organisations where their names are.

@example
```
diffConfigs(inForce, next); //=> [{kind: 'changed', subject: 'limits', fields: [{name: 'maxBodyBytes', before: 1000, after: 2000}]}]
```
*/
export function diffConfigs(before: TrafficConfig, after: TrafficConfig): readonly ConfigChange[] {
	return [
		...diffEntries(listRoutes(before), listRoutes(after)),
		...diffEntries(listServices(before), listServices(after)),
		...diffEntries(listOrganisations(before), listOrganisations(after)),
		...diffEntries(new Map([['limits', {subject: 'limits', fields: before.limits}]]), new Map([['limits', {subject: 'limits', fields: after.limits}]])),
	];
}

function listRoutes({routes}: TrafficConfig): ReadonlyMap<string, Entry> {
	return new Map(routes.map(route => {
		const place = route.host.toLowerCase() + route.pathPrefix;

		return [place, {subject: `route ${route.name} (${place})`, fields: {...route, host: undefined, pathPrefix: undefined}}];
	}));
}

function listServices({services}: TrafficConfig): ReadonlyMap<string, Entry> {
	return new Map(services.map(service => [service.name, {subject: `service ${service.name}`, fields: service}]));
}

function listOrganisations({organisations}: TrafficConfig): ReadonlyMap<string, Entry> {
	return new Map(organisations.map(({keys, ...fields}) => [fields.name, {subject: `organisation ${fields.name}`, fields, keys}]));
}

function diffEntries(before: ReadonlyMap<string, Entry>, after: ReadonlyMap<string, Entry>): readonly ConfigChange[] {
	const changes: ConfigChange[] = [];

	for (const [id, {subject}] of before) {
		if (!after.has(id)) {
			changes.push({kind: ChangeKind.Removed, subject, fields: []});
		}
	}

	for (const [id, entry] of after) {
		const previous = before.get(id);

		if (previous === undefined) {
			changes.push({kind: ChangeKind.Added, subject: entry.subject, fields: []});
			continue;
		}

		const fields = [...diffFields(previous.fields, entry.fields), ...diffKeys(previous.keys, entry.keys)];

		if (fields.length > 0) {
			changes.push({kind: ChangeKind.Changed, subject: entry.subject, fields});
		}
	}

	return changes;
}

function diffFields(before: Fields, after: Fields): readonly FieldChange[] {
	return [...new Set([...Object.keys(before), ...Object.keys(after)])]
		.filter(name => JSON.stringify(before[name]) !== JSON.stringify(after[name]))
		.map(name => ({name, before: before[name], after: after[name]}));
}

function diffKeys(before: readonly string[] = [], after: readonly string[] = []): readonly FieldChange[] {
	const added = after.filter(key => !before.includes(key)).length;
	const withdrawn = before.filter(key => !after.includes(key)).length;

	return added + withdrawn === 0 ? [] : [{name: `keys (${added} added, ${withdrawn} withdrawn)`, before: before.length, after: after.length}];
}
