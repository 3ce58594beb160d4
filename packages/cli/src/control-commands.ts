import {type Command} from 'commander';
import {type InstanceRow, type StatusReport} from '@fescuestair/control';
import {UpstreamKind, type UpstreamDetails} from '@fescuestair/protocol';
import {ItemKind} from '@fescuestair/state';
import {callControl, type ClientOptions} from './client.js';
import {describeAnswer, sendChange} from './change-config.js';
import {formatTable} from './tables.js';
import {addCommonOptions, runCommand} from './run-command.js';

function formatStatus(status: StatusReport): string {
	const rows = status.replicas.map(replica => [replica.name, replica.role, replica.isReachable ? 'yes' : 'NO', replica.address, replica.id]);
	const durability = status.canLose > 0 ? `${status.canLose} more replica(s) can be lost` : 'NO further replica can be lost';

	return [
		`preset in force  ${status.presetInForce ?? 'none'} (configuration version ${status.configVersion})`,
		`leader           ${status.leaderName ?? 'NONE'} in term ${status.term}, committed up to ${status.commitIndex}`,
		`durability       ${durability}`,
		`claims kept      ${status.claims}`,
		...(status.waiting.length === 0 ? [] : [`waiting          ${status.waiting.join(', ')} (add with: fescuestair control add NAME)`]),
		'',
		formatTable(['replica', 'role', 'reachable', 'address', 'id'], rows),
	].join('\n');
}

function formatInstances(rows: readonly InstanceRow[]): string {
	return formatTable(['instance', 'kind', 'status', 'zone', 'address', 'details'], rows.map(row => [
		row.id, row.kind, row.status, row.availabilityZone, row.address, describeDetails(row.details),
	]));
}

function describeDetails(details: InstanceRow['details']): string {
	const {kind, service, models, weightVersion, checksFencing, checksGiver} = details as Partial<UpstreamDetails>;

	if (kind !== UpstreamKind.Engine) {
		return [kind, service].filter(Boolean).join(' ');
	}

	const fencingCheck = checksFencing === true ? 'checks fencing tokens' : 'IGNORES fencing tokens';
	const senderCheck = checksGiver === true ? 'authenticates orders' : 'accepts orders from ANYONE on its network';

	return `engine ${models?.join(',')} weights ${weightVersion}; ${fencingCheck}; ${senderCheck}`;
}

async function setDrain(options: ClientOptions, name: string, isDrained: boolean) {
	const key = `${ItemKind.Drain}/${name}`;
	const {version} = await callControl(options, async client => client.config.query());
	const answer = await sendChange(options, {
		upserts: isDrained ? [[key, {kind: ItemKind.Drain, name}]] : [],
		removals: isDrained ? [] : [key],
		summary: `${isDrained ? 'drain' : 'end the drain of'} ${name}`,
		expectedVersion: version,
	});

	return {text: describeAnswer(answer), value: answer};
}

/** Adds `status`, `upstreams`, `entries`, `drain` and `control`. */
export function addControlCommands(program: Command): void {
	addCommonOptions(program.command('status')).description('shows the state of the system and how many replicas it can lose').action(async (_, command: Command) => {
		await runCommand(command, async options => {
			const status = await callControl(options, async client => client.status.query());

			return {text: formatStatus(status as StatusReport), value: status};
		});
	});

	for (const [name, kind] of [['upstreams', 'upstream'], ['entries', 'entry']] as const) {
		addCommonOptions(program.command(name)).description(`lists the ${name}`).action(async (_, command: Command) => {
			await runCommand(command, async options => {
				const instances = await callControl(options, async client => client.instances.query() as Promise<readonly InstanceRow[]>);
				const rows = instances.filter(row => row.kind === kind);

				return {text: formatInstances(rows), value: rows};
			});
		});
	}

	addCommonOptions(program.command('drain <instance>')).description('sends no new work to an upstream or entry until --undo')
		.option('--undo', 'end the drain')
		.action(async (instance: string, flags: {undo?: boolean}, command: Command) => {
			await runCommand(command, async options => setDrain(options, instance, flags.undo !== true));
		});

	const control = program.command('control').description('manages the replicas of the durable state');

	addCommonOptions(control.command('init')).description('creates the group, with the replica that answers as its only member; once in the life of a system').action(async (_, command: Command) => {
		await runCommand(command, async options => {
			await callControl(options, async client => client.initialize.mutate());

			return {text: 'the group was created', value: {}};
		});
	});

	addCommonOptions(control.command('add <name>')).description('adds a waiting replica to the group')
		.option('--replaces <name>', 'the member to remove once the new one is a voter, such as one that lost its disk')
		.action(async (name: string, flags: {replaces?: string}, command: Command) => {
			await runCommand(command, async options => {
				await callControl(options, async client => client.addReplica.mutate({name, replacesName: flags.replaces}));

				return {text: `${name} was added as a learner and becomes a voter once it has caught up; see status`, value: {}};
			});
		});

	addCommonOptions(control.command('remove <name>')).description('removes a replica from the group').action(async (name: string, _, command: Command) => {
		await runCommand(command, async options => {
			await callControl(options, async client => client.removeReplica.mutate({name}));

			return {text: `${name} was removed from the group`, value: {}};
		});
	});
}
