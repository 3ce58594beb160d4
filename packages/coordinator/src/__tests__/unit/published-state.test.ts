import test from 'ava';
import {EvacuationStep} from '@fescuestair/evacuations';
import {isPublishedSnapshot} from '@fescuestair/instances';
import {
	applyPublish, createPublishedState, decodePublishedState, describePublished, encodePublishedState, PublishKind,
} from '../../index.js';
import {isPublishCommand} from '../../published-state.js';

const put = (version: number, text = `v${version}`) => ({kind: PublishKind.PutConfig as const, version, text});

test('the highest version stays in force, and the same or a lower one changes nothing', t => {
	let {state} = applyPublish(createPublishedState(), put(7));
	const same = applyPublish(state, put(7, 'other'));
	t.false(same.isNew);
	t.is(same.state.configText, 'v7');
	t.false(applyPublish(state, put(3)).isNew);
	state = applyPublish(state, put(9)).state;
	t.is(state.configText, 'v9');
	t.is(state.revision, 2);
});

test('target versions increase per model, and a snapshot keeps them', t => {
	let {state} = applyPublish(createPublishedState(), {kind: PublishKind.SetTargetVersion, model: 'a', version: 2});
	t.false(applyPublish(state, {kind: PublishKind.SetTargetVersion, model: 'a', version: 2}).isNew);
	state = applyPublish(state, {kind: PublishKind.SetTargetVersion, model: 'b', version: 1}).state;
	t.deepEqual(decodePublishedState(structuredClone(encodePublishedState(state))), state);
});

test('the text of the configuration is left out for a daemon that already has that version', t => {
	const {state} = applyPublish(createPublishedState(), put(7));
	t.is(describePublished(state, {knownConfigVersion: 7, getWeightsAgeMs: () => 0}).configText, undefined);
	t.is(describePublished(state, {knownConfigVersion: 6, getWeightsAgeMs: () => 0}).configText, 'v7');
});

const evacuate = (step: EvacuationStep, zone: string) => ({kind: PublishKind.ChangeEvacuation as const, step, zone});

test('evacuations of two operators are kept side by side, and a resent change is no news', t => {
	let {state} = applyPublish(createPublishedState(), evacuate(EvacuationStep.Begin, 'south'));
	t.false(applyPublish(state, evacuate(EvacuationStep.Begin, 'south')).isNew);
	t.false(applyPublish(state, evacuate(EvacuationStep.Finish, 'north')).isNew);
	state = applyPublish(state, evacuate(EvacuationStep.Begin, 'north')).state;
	t.is(state.revision, 2);
	const snapshot = describePublished(state, {knownConfigVersion: 0, getWeightsAgeMs: () => 0});
	t.deepEqual(snapshot.evacuatedZones, ['north', 'south']);
	t.true(isPublishedSnapshot(snapshot));
	t.deepEqual(decodePublishedState(structuredClone(encodePublishedState(state))), state);
	t.deepEqual(applyPublish(state, evacuate(EvacuationStep.Finish, 'south')).state.evacuatedZones, ['north']);
});

test('a snapshot of older software names no evacuations', t => {
	const {evacuatedZones, ...encoded} = encodePublishedState(createPublishedState());
	t.deepEqual(evacuatedZones, []);
	t.deepEqual(decodePublishedState(encoded).evacuatedZones, []);
	t.true(isPublishedSnapshot({revision: 1, configVersion: 1, weights: []}));
});

test('a proposal of another coordinator is checked', t => {
	t.true(isPublishCommand(evacuate(EvacuationStep.Begin, 'south')));
	t.false(isPublishCommand({...evacuate(EvacuationStep.Begin, 'south'), step: 'pause'}));
	t.false(isPublishCommand(evacuate(EvacuationStep.Begin, 's'.repeat(501))));
});
