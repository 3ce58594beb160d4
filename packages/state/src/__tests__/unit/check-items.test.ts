import test from 'ava';
import fc from 'fast-check';
import {
	applyCommand, CommandKind, CommandResponseKind, createReplicatedState, findInvalidItems, findItemWarnings, getItemKey, ItemKind, itemSchemas, listSharedKeys, parseDeclarations, RequestClass,
	type ConfigItem,
} from '../../index.js';

const digests = ['1', '2', '3'].map(digit => digit.repeat(64));
const classLimit = {concurrent: 10, perSecond: 10};
const preset = {
	kind: ItemKind.Preset, name: 'ordinary', weights: {firstToken: 1, recompute: 0.1, link: 0},
	limits: {[RequestClass.Short]: classLimit, [RequestClass.Long]: classLimit, [RequestClass.Service]: classLimit},
} as const;

const createItem = (item: Readonly<Record<string, unknown>> & {readonly kind: ItemKind; readonly name: string}): ConfigItem => itemSchemas[item.kind].parse(item);
const createOrganisation = (name: string, keyDigests: readonly string[]) => createItem({kind: ItemKind.Organisation, name, keyDigests});
const listWarnings = (...items: readonly ConfigItem[]) => {
	const all = [createItem(preset), createOrganisation('o', [digests[0]!]), ...items];

	return findItemWarnings(new Map(all.map(item => [getItemKey(item), item]))).map(({place, message}) => `${place}: ${message}`);
};

test('keys that two organisations hold are found, whichever comes first', t => {
	t.deepEqual(listSharedKeys([createOrganisation('a', [digests[0]!]), createOrganisation('b', [digests[1]!, digests[0]!])]), [{organisation: 'b', other: 'a', digest: digests[0]!}]);
	t.deepEqual(listSharedKeys([createOrganisation('a', [digests[0]!, digests[0]!]), createItem(preset)]), []);
});

test('declarations in which two organisations share a key are refused, with the places of both', t => {
	const text = ['a', 'b'].map(name => `kind: organisation\nname: ${name}\nkeyDigests: ["${digests[0]}"]\n`).join('---\n');
	t.deepEqual(parseDeclarations([{path: 'organisations.yaml', text}]).findings, [
		{place: 'organisations.yaml:5', message: 'organisation/b shares a key with organisation/a, declared at organisations.yaml:1'},
	]);
});

test('a change is invalid if an organisation would share a key, or an item lies under another name', t => {
	const [a, b] = [createOrganisation('a', [digests[0]!]), createOrganisation('b', [digests[0]!])];
	t.is(findInvalidItems([a], {upserts: [['organisation/b', b]], removals: []}), 'organisation/b shares a key with organisation/a');
	t.is(findInvalidItems([a], {upserts: [['organisation/b', b]], removals: ['organisation/a']}), undefined);
	t.is(findInvalidItems([a], {upserts: [['organisation/a', createOrganisation('a', [digests[1]!])], ['organisation/b', b]], removals: []}), undefined);
	t.is(findInvalidItems([], {upserts: [['organisation/c', a]], removals: []}), 'organisation/c holds organisation/a');
});

test('valid declarations have no warnings', t => {
	const items = [ItemKind.Service, ItemKind.Model, ItemKind.UpstreamPolicy].map(kind => createItem({kind, name: 'n'}));
	t.deepEqual(listWarnings(...items), []);
});

test('without a preset or an organisation no caller is served, which is a warning', t => {
	t.deepEqual(findItemWarnings(new Map()).map(({place}) => place), ['preset', 'organisation']);
});

for (const [name, item, expected] of [
	['a class that is never refused first',
		{...preset, name: 'p', refuseFirst: ['long', 'short']},
		'preset/p: refuseFirst: only class "long" can be refused first, and "short" changes nothing; leave it out'],
	['engines reserved for short prompts', {...preset, name: 'p', reservedShortShare: 1}, 'preset/p: reservedShortShare: leaves long prompts one slot of each engine at most; choose less than 1'],
	['weights that are all 0', {...preset, name: 'p', weights: {firstToken: 0, recompute: 0, link: 0}}, 'preset/p: weights: all are 0, so that every engine costs the same; raise one'],
	['a key twice', {kind: ItemKind.Organisation, name: 'p', keyDigests: [digests[1], digests[1]]}, 'organisation/p: keyDigests: holds a key twice; leave one out'],
	['a method twice', {kind: ItemKind.Service, name: 'p', repeatableMethods: ['GET', 'GET']}, 'service/p: repeatableMethods: holds a method twice; leave one out'],
	['a key that is forgotten before its call ends',
		{kind: ItemKind.Service, name: 'p', keyRetentionHours: 0.001},
		'service/p: keyRetentionHours: a key is forgotten after 3600 ms, before its call ends at 10000 ms; keep it longer'],
	['a drain', {kind: ItemKind.Drain, name: 'p'}, 'drain/p: a drain is set by the command of that name, and is not shown among the changes; leave it out'],
] as const) {
	test(`a declaration warns of ${name}`, t => {
		t.deepEqual(listWarnings(createItem(item)), [expected]);
	});
}

test('of two policies only the first applies, which is a warning', t => {
	t.deepEqual(listWarnings(...['a', 'b'].map(name => createItem({kind: ItemKind.UpstreamPolicy, name}))), [
		'upstream_policy/b: only one policy applies, and upstream_policy/a comes first; leave one out',
	]);
});

type Declared = {readonly name: string; readonly keyDigests: readonly string[]};

const declaredOrganisations = fc.uniqueArray(fc.record({
	name: fc.constantFrom('a', 'b', 'c'), keyDigests: fc.array(fc.constantFrom(...digests, 'short'), {maxLength: 3}),
}), {selector: ({name}) => name});

const isValid = (organisations: readonly Declared[]) => {
	const all = organisations.flatMap(({keyDigests}) => [...new Set(keyDigests)]);

	return organisations.every(({keyDigests}) => keyDigests.length > 0) && !all.includes('short') && new Set(all).size === all.length;
};

const isAccepted = (items: ReadonlyMap<string, ConfigItem>) => {
	const change = {upserts: [...items], removals: []};
	const {answer} = applyCommand(createReplicatedState(), {
		kind: CommandKind.ChangeConfig, changeId: 'c', actor: 'ana', atMs: 0, wallMs: 0, summary: '', expectedVersion: 0, ...change,
	});

	return findInvalidItems([], change) === undefined && answer.kind === CommandResponseKind.Accepted;
};

test('whatever is declared, what has no findings is accepted, and no two organisations of it share a key', t => {
	t.notThrows(() => {
		fc.assert(fc.property(declaredOrganisations, organisations => {
			const text = organisations.map(item => JSON.stringify({kind: ItemKind.Organisation, ...item})).join('\n---\n');
			const {items, findings} = parseDeclarations([{path: 'organisations.yaml', text}]);

			return isValid(organisations) ? findings.length === 0 && isAccepted(items) : findings.length > 0;
		}), {seed: 64, numRuns: 500});
	});
});
