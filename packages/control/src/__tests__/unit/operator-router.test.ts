import test from 'ava';
import {
	CommandResponseKind, ItemKind, itemSchemas, type CommandRequest, type CommandResponse, type ConfigItem,
} from '@fescuestair/state';
import {createOperatorRouter, type OperatorBackend} from '../../operator-router.js';

const createOrganisation = (name: string) => itemSchemas[ItemKind.Organisation].parse({kind: ItemKind.Organisation, name, keyDigests: ['1'.repeat(64)]});

const openRouter = (items: readonly ConfigItem[]) => {
	const proposed: CommandRequest[] = [];
	const fail = () => {
		throw new Error('not called by these tests');
	};

	const backend: OperatorBackend = {
		getStatus: fail, listInstances: fail, getHistory: fail, traceRequest: fail, initialize: fail, addReplica: fail, removeReplica: fail,
		getConfig: () => ({version: 3, inForce: undefined, items}),
		async propose(request): Promise<CommandResponse> {
			proposed.push(request);

			return {kind: CommandResponseKind.Accepted, version: 4};
		},
	};

	return {proposed, caller: createOperatorRouter(backend).createCaller({actor: 'ana'})};
};

// The requests of one organisation counted as those of another, whichever was declared last.
test('a change by which two organisations would share a key is refused before it is proposed', async t => {
	const {proposed, caller} = openRouter([createOrganisation('a')]);
	const change = {
		changeId: 'change-1', expectedVersion: 3, upserts: [['organisation/b', createOrganisation('b')] as [string, ConfigItem]], removals: [], summary: '',
	};
	t.deepEqual(await caller.change(change), {kind: CommandResponseKind.Invalid, reason: 'organisation/b shares a key with organisation/a'});
	t.deepEqual(proposed, []);
	const accepted = {kind: CommandResponseKind.Accepted, version: 4};
	t.deepEqual(await caller.change({...change, removals: ['organisation/a']}), accepted);
	// What is valid against another version, only the group can tell.
	t.deepEqual(await caller.change({...change, expectedVersion: 2}), accepted);
	t.is(proposed.length, 2);
});
