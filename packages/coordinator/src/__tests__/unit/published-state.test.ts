import test from 'ava';
import {
	applyPublish, createPublishedState, decodePublishedState, describePublished, encodePublishedState, PublishKind,
} from '../../index.js';

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
