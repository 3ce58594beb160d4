import test from 'ava';
import {
	ItemKind, itemSchemas, parseDeclarations, type ConfigItem,
} from '@fescuestair/state';
import {checkDeclarations, formatDeclarationCheck, type OtherItems} from '../../check-declarations.js';

const formatOrganisation = (name: string, digit: string) => `kind: organisation\nname: ${name}\nkeyDigests: ["${digit.repeat(64)}"]\n`;
const preset = `kind: preset
name: ordinary
weights: {firstToken: 1, recompute: 0.1, link: 0.02}
limits:
  short: {concurrent: 100, perSecond: 200}
  long: {concurrent: 20, perSecond: 20}
  service: {concurrent: 100, perSecond: 200}
`;
const check = (texts: readonly string[], other?: OtherItems) => checkDeclarations([{path: 'all.yaml', text: texts.join('---\n')}], other);
const parseItems = (...texts: readonly string[]): readonly ConfigItem[] => [...parseDeclarations([{path: 'other.yaml', text: texts.join('---\n')}]).items.values()];

test('declarations that would be refused are reported with all errors, and without warnings of what could be read', t => {
	const result = check([formatOrganisation('a', '1'), formatOrganisation('b', '1'), 'kind: upstream_policy\nname: p\nmaxConcurrentLoads: 0\n']);
	t.false(result.isValid);
	t.is(formatDeclarationCheck(result), [
		'they would be refused:',
		'  all.yaml:11: maxConcurrentLoads: Too small: expected number to be >0',
		'  all.yaml:5: organisation/b shares a key with organisation/a, declared at all.yaml:1',
	].join('\n'));
});

test('warnings name the file, the line and the item', t => {
	const result = check([preset, formatOrganisation('a', '1'), 'kind: drain\nname: i-1\n']);
	t.true(result.isValid);
	t.is(formatDeclarationCheck(result), [
		'the declarations would be accepted',
		'warnings:',
		'  all.yaml:13: drain/i-1: a drain is set by the command of that name, and is not shown among the changes; leave it out',
	].join('\n'));
});

test('the changes to the configuration in force are shown, without drains', t => {
	const drain = itemSchemas[ItemKind.Drain].parse({kind: ItemKind.Drain, name: 'i-1'});
	const items = [...parseItems(preset, formatOrganisation('a', '1')), drain];
	t.is(formatDeclarationCheck(check([preset, formatOrganisation('b', '2')], {name: 'configuration version 6', items, presetInForce: 'ordinary'})), [
		'the declarations would be accepted',
		'changes to configuration version 6:',
		'  + organisation/b',
		'  - organisation/a',
	].join('\n'));
	t.regex(formatDeclarationCheck(check([preset, formatOrganisation('a', '1')], {name: 'old.yaml', items})), /nothing differs from old\.yaml$/v);
});

test('the removal of the preset in force is an error, as it is for control replicas', t => {
	const result = check([preset.replace('ordinary', 'peak'), formatOrganisation('a', '1')], {name: 'configuration version 6', items: parseItems(preset), presetInForce: 'ordinary'});
	t.deepEqual(result.errors, [{place: 'preset/ordinary', message: 'is in force and cannot be removed; declare it, or put another one in force first'}]);
});
