// Writes days in which kinds of trouble strike at the same seconds, so that each pair of them meets in one day at least.
//
//     fleetbench kinds SITE | node scripts/write-pair-days.mjs --out FOLDER [--seed 1] [--size 7]
//     fleetbench kinds SITE | node scripts/write-pair-days.mjs --out FOLDER --around srv_crash --others 'srv_grey errors,garble unframed'
//     fleetbench kinds SITE | node scripts/write-pair-days.mjs --out FOLDER --silent --others 'config_change route,hup,roll_term'
//     fleetbench kinds SITE | node scripts/write-pair-days.mjs --out FOLDER --planned --services '@s0,workshop-app'
//
// The first form writes pairs-01.toml and on: a day has four rounds, in each of which a group of kinds overlap. With `--around`, one kind strikes
// all day beside the others, of which three take turns in a day; the files are named after `--name`.
// With `--silent`, each of the others gets a day in which instances of a service fall silent for a second and go on. With `--planned`, three kinds of
// planned work take place in each round, beside more kinds of trouble, so that each meets each; what strikes instances strikes those of all `--services`.
// `--kinds FILE` reads the list of kinds from a file.
// Kinds that the site doesn't list are left out. Build first: `npm run build`.
import crypto from 'node:crypto';
import fs from 'node:fs';
import path from 'node:path';
import {parseArgs} from 'node:util';
import {planPairGroups} from '../packages/bench/dist/plan-pair-groups.js';

const {values} = parseArgs({
	options: {
		out: {type: 'string'},
		kinds: {type: 'string'},
		seed: {type: 'string', default: '1'},
		size: {type: 'string', default: '7'},
		around: {type: 'string'},
		others: {type: 'string', default: ''},
		name: {type: 'string', default: 'around'},
		silent: {type: 'boolean', default: false},
		planned: {type: 'boolean', default: false},
		services: {type: 'string', default: '@s0'},
	},
});

/** When a kind strikes within a round, in seconds from its start: `span` lasts through it, `pulse` strikes twice and is short, `step` takes place once in its middle. */
const spanFor = 5;
const pulseFor = 1.5;
const strikes = {span: [0], pulse: [1.2, 3.4], step: [1.6]};
const roundStarts = [3, 10, 17, 24];
const turnStarts = [3, 12, 21];
const turnFor = 8;

/** What makes instances silent for a while, a kind for each turn of a day; the last time in a turn all of them are. */
const silences = [
	{kind: 'srv_cut some', fields: 'x = 1.0'},
	{kind: 'srv_slow', fields: 'x = 300.0'},
	{kind: 'srv_grey hang', fields: 'x = 1.0'},
];
const silenceStarts = [0, 1.8, 3.6, 5.4, 7.2];
const silentFor = 1.3;
const changeEvery = 1.6;
const changes = ['route', 'weights', 'timeout', 'tenant', 'idle'];

/** With `--planned`: how many kinds of planned work meet in a round, how many counted kinds of trouble, one after the other, and when cheap work is repeated. */
const workPerRound = 3;
const countedPerRound = 2;
const countedFor = 2.2;
const countedAts = [0.2, 2.8];
const repeatAfter = 2.4;
const isRepeated = label => /^(?:config_|bad_config|hup|revoke)/v.test(label);

/**
 * A line for each kind: its name and variant, when it strikes, its fields, and those that differ where only two kinds meet. `plan` strikes like `step` and is planned work.
 * An exclamation mark stands before a kind that no list names, a plus sign before one of `--planned` only, a caret before one that strikes machines whose loss
 * is counted: of these the bench lets one strike at a time, so no two are in a group. All days stay playable: what several kinds take together leaves the larger part of the instances.
 */
const table = `
# Instances
srv_crash | pulse | service = "@s0", share = 0.1 | share = 0.25
srv_crash gone | step | service = "@s0", share = 0.09 | share = 0.15
srv_crash dark | pulse | service = "@s0", share = 0.1 | share = 0.2
srv_crash all | pulse | service = "@s1"
srv_grey errors | span | service = "@s0", share = 0.25, x = 0.3 | share = 0.7, x = 0.5
srv_grey shed | span | service = "@s0", share = 0.25, x = 0.4 | share = 0.6, x = 0.5
srv_grey busy | span | service = "@s0", share = 0.25, x = 0.4 | share = 0.6, x = 0.5
srv_grey hang | span | service = "@s0", share = 0.15, x = 0.3 | share = 0.4, x = 0.4
srv_grey reset | span | service = "@s0", share = 0.25, x = 0.3 | share = 0.6, x = 0.5
srv_grey mute | span | service = "@s0", share = 0.15, x = 0.3 | share = 0.4, x = 0.4
srv_grey slow | span | service = "@s0", share = 0.15, x = 5 | share = 0.5, x = 6
garble | span | service = "@s0", share = 0.4, x = 0.03 | share = 1, x = 0.15
garble unframed | span | service = "@s0", share = 0.4, x = 0.05 | share = 1, x = 0.3
garble extra | span | service = "@s0", share = 0.4, x = 0.03 | share = 1, x = 0.15
garble early | span | service = "@s0", share = 0.4, x = 0.03 | share = 1, x = 0.15
garble rot | span | service = "@s0", share = 0.4, x = 0.03 | share = 1, x = 0.15
answer_lost | span | service = "@s0", share = 0.4, x = 0.03 | share = 1, x = 0.15
answer_lost reset | span | service = "@s0", share = 0.4, x = 0.04 | share = 1, x = 0.15
srv_flap | span | service = "@s0", share = 0.1, gap_s = 1.4 | share = 0.3, gap_s = 1
srv_cut | span | service = "@s0", share = 0.1 | share = 0.25
srv_cut reborn | span | service = "@s0", share = 0.1 | share = 0.25
srv_cut some | span | service = "@s0", share = 0.1 | share = 0.25
srv_slow | span | service = "@s0", share = 0.15, x = 3 | share = 0.3, x = 4
srv_lying_health errors | span | service = "@s0", share = 0.1 | share = 0.3
srv_lying_health hang | span | service = "@s0", share = 0.1 | share = 0.25
srv_lying_health reset | span | service = "@s0", share = 0.1 | share = 0.3
srv_lying_health bad | span | service = "@s0", share = 0.1 | share = 0.25
idle_race | span | share = 0.5, x = 300
release | plan | service = "@s0", share = 0.25, x = 1, gap_s = 0.7 | share = 0.5, gap_s = 0.8
scale_in | plan | service = "@s0", share = 0.09 | share = 0.15
scale_in spot | plan | service = "@s0", share = 0.09, x = 2 | share = 0.15
scale_out | plan | service = "@s0", share = 0.1, gap_s = 1
replace_with_reuse | step | service = "@s0", share = 0.1
replace_with_reuse drain | step | service = "@s0", share = 0.1
applied_late orders | span | x = 0.35 | x = 0.5
applied_late all | span | x = 0.25
kv_slow | span | service = "@s0", share = 0.25, x = 6
events_gap | span | service = "@s0", share = 0.4
version_bump | plan | count = 0
# Machines
node_kill | step | share = 0.12 | share = 0.3
node_kill power | pulse | share = 0.1
^node_kill leader | step | on = "core", count = 1
node_freeze | pulse | share = 0.1
^node_freeze renewed | span | on = "core", count = 1
node_slow | span | share = 0.15, x = 3
roll_term | plan | share = 0.3, x = 1, gap_s = 1.2 | share = 0.6, gap_s = 1
^roll_term leader | plan | on = "core", share = 0.4, x = 1, gap_s = 1.2
herd_kill | step | share = 0.35
^herd_kill core | step | on = "core"
^replace_core | step | x = 1
^replace_core planned | plan | x = 1
seed_turnover | plan
^after_ack_kill | step | for_s = 2
^after_ack_wipe | step | for_s = 2
^disk_stall | span | count = 1
^disk_slow | span | count = 1, x = 25
^disk_full | span | count = 1
^core_cut leader | span | count = 1
^core_cut split | span
node_cut | span | share = 0.12
node_cut servers | span | service = "@s0", share = 0.12
lossy | span | zone = "@z0", x = 0.025
hup | plan | share = 0.4, gap_s = 0.5
reset_conns | step | share = 0.2, x = 0.5
clock_step ahead | span | share = 0.3, x = 2000
clock_step back | span | share = 0.3, x = 2000
# Changes
config_change route | plan
config_change timeout | plan
config_change weights | plan
config_change quota | plan
+config_change tenant | plan
+config_change idle | plan
+config_change topup | plan
config_race | plan | count = 3, gap_s = 0.8
bad_config | plan | count = 3, gap_s = 0.6
big_config | plan | count = 200
revoke | plan | count = 2, gap_s = 0.8
ack_lost | span | x = 0.6
# Callers
burst | span | x = 1.4
retry_abuse | span | share = 0.2, x = 2
give_up | span | share = 0.2
hot_key | span | class = "@c0", share = 0.25
!poison deadly part | span | class = "@c0", share = 0.05
`;

const parseFields = text => Object.fromEntries(text.split(',').filter(field => field.trim()).map(field => field.split('=').map(part => part.trim())));

const kinds = new Map(table.split('\n').filter(line => line && !line.startsWith('#')).map(line => {
	const [label, when, fields = '', alone = ''] = line.split('|').map(column => column.trim());

	return [label.replace(/^[!+^]/v, ''), {
		always: label.startsWith('!'),
		plannedOnly: label.startsWith('+'),
		counted: label.startsWith('^'),
		planned: when === 'plan',
		when: when === 'plan' ? 'step' : when,
		fields: parseFields(fields),
		alone: parseFields(alone),
	}];
}));

const readListedKinds = () => {
	const text = fs.readFileSync(values.kinds ?? 0, 'utf8');

	return new Set([...text.matchAll(/^(?<kind>[a-z_]+):/gmv)].map(match => match.groups.kind));
};

const formatEntry = (label, at, fields) => {
	const [kind, ...how] = label.split(' ');
	// All machines of the core are killed without a variant; the word tells the two herds apart.
	const variant = label === 'herd_kill core' ? '' : how.join(' ');
	const entry = new Map([['at', at.toFixed(1)], ['kind', `"${kind}"`], ...Object.entries(fields)]);

	if (variant) {
		entry.set('how', `"${variant}"`);
	}

	return `  { ${[...entry].map(([field, value]) => `${field} = ${value}`).join(', ')} },`;
};

/** The entries of a kind for the time from `start` on, which lasts `length` seconds; `late` staggers them. */
const planEntries = (label, start, {length = spanFor, late = 0, alone = false, service} = {}) => {
	const kind = kinds.get(label);
	const lasting = {span: [['for_s', (length - late).toFixed(1)]], pulse: [['for_s', pulseFor]], step: []}[kind.when];
	const where = service ? {service: `"${service}"`} : {};
	const strength = {...kind.fields, ...alone && kind.alone};
	const fields = {...strength, ...where, ...Object.fromEntries(lasting)};

	const entries = strikes[kind.when].map(at => ({planned: kind.planned, line: formatEntry(label, start + at + late, fields)}));

	// These wait for the acknowledgement of a change.
	return label.startsWith('after_ack') ? [...entries, ...planEntries('config_change timeout', start, {late: late + 0.2})] : entries;
};

const writeDay = (name, comment, entries) => {
	const select = planned => entries.filter(entry => entry.planned === planned).map(entry => entry.line);
	const lists = [['plan', select(true)], ['faults', select(false)]].filter(([, lines]) => lines.length > 0);
	const text = `# ${comment}\n[[day]]\nname = "${name}"\n${lists.map(([list, lines]) => `${list} = [\n${lines.join('\n')}\n]\n`).join('')}`;
	fs.writeFileSync(path.join(values.out, `${name}.toml`), text);
};

const formatNumber = index => String(index + 1).padStart(2, '0');

/** The order decides which kinds meet in a group; each seed gives another. */
const sortBySeed = labels => labels
	.map(label => ({label, rank: crypto.createHash('sha256').update(`${values.seed} ${label}`).digest('hex')}))
	.toSorted((a, b) => a.rank < b.rank ? -1 : 1)
	.map(({label}) => label);

const writePairs = labels => {
	const canMeet = (item, other) => !kinds.get(labels[item]).counted || !kinds.get(labels[other]).counted;
	const groups = planPairGroups(labels.length, Number(values.size), canMeet);
	const pairCount = labels.flatMap((_, item) => labels.filter((_, other) => item < other && canMeet(item, other))).length;
	const dayCount = Math.ceil(groups.length / roundStarts.length);

	for (let day = 0; day < dayCount; day++) {
		// Nothing else of the core is struck after a planned replacement, so that comes last.
		const rounds = groups
			.slice(day * roundStarts.length, (day + 1) * roundStarts.length)
			.map(group => group.map(item => labels[item]))
			.toSorted((a, b) => Number(a.includes('replace_core planned')) - Number(b.includes('replace_core planned')));
		const entries = rounds.flatMap((round, index) => round.flatMap((label, place) => planEntries(label, roundStarts[index], {late: place / 10})));
		writeDay(`pairs-${formatNumber(day)}`, `At the same time: ${rounds.map(round => round.join(', ')).join('; then ')}.`, entries);
	}

	console.log(`${dayCount} days for the ${pairCount} pairs of ${labels.length} kinds`);
};

const writeAround = (around, others) => {
	const dayCount = Math.ceil(others.length / turnStarts.length);

	for (let day = 0; day < dayCount; day++) {
		const turns = others.slice(day * turnStarts.length, (day + 1) * turnStarts.length);
		const entries = turns.flatMap((label, index) => planEntries(label, turnStarts[index], {length: turnFor, alone: true}));

		for (let at = turnStarts[0]; at < turnStarts[0] + (turns.length * 9) - 2; at += strikes.pulse[1]) {
			entries.push(planEntries(around, at - strikes.pulse[0], {alone: true})[0]);
		}

		writeDay(`${values.name}-${formatNumber(day)}`, `${around} all day beside: ${turns.join('; then ')}.`, entries);
	}

	console.log(`${dayCount} days of ${around} beside ${others.length} kinds`);
};

/** The services whose instances a kind strikes; a kind that isn't of the model service strikes where its fields say. */
const listServices = label => kinds.get(label).fields.service === '"@s0"' ? values.services.split(',') : [undefined];

/** Troubles of counted machines take half of the round each, since they wait for each other; those of instances strike each service. */
const planTroubles = (labels, start) => {
	const counted = labels.filter(label => kinds.get(label).counted);
	const others = labels.filter(label => !kinds.get(label).counted);

	return [
		...counted.flatMap((label, index) => planCounted(label, start + countedAts[index])),
		...others.flatMap((label, place) => listServices(label).flatMap(service => planEntries(label, start, {late: place / 10, service}))),
	];
};

const planCounted = (label, at) => planEntries(label, at - strikes[kinds.get(label).when][0], {length: countedFor});

const planWork = (labels, start) => labels.flatMap((label, place) => {
	const late = (place * 0.3) - 1;

	return listServices(label).flatMap(service => [
		...planEntries(label, start, {late, service}),
		...isRepeated(label) ? planEntries(label, start + repeatAfter, {late}) : [],
	]);
});

/** The order spreads rounds that share work or troubles over the days, and puts those with a planned replacement last in theirs. */
const writePlanned = labels => {
	const work = labels.filter(label => kinds.get(label).planned);
	const troubles = labels.filter(label => !kinds.get(label).planned);
	const counted = troubles.filter(label => kinds.get(label).counted);
	const partCount = Math.max(Math.ceil(troubles.length / Number(values.size)), Math.ceil(counted.length / countedPerRound));
	const dealt = [...counted, ...troubles.filter(label => !kinds.get(label).counted)];
	const parts = Array.from({length: partCount}, (_, part) => dealt.filter((_, place) => place % partCount === part));
	const teamCount = Math.ceil(work.length / workPerRound);
	const teams = Array.from({length: teamCount}, (_, team) => work.filter((_, place) => place % teamCount === team));
	const isLast = team => team.includes('replace_core planned');
	const rounds = teams
		.toSorted((a, b) => Number(isLast(a)) - Number(isLast(b)))
		.flatMap(team => parts.map(part => ({team, troubles: part})));
	const dayCount = Math.ceil(rounds.length / roundStarts.length);

	for (let day = 0; day < dayCount; day++) {
		const ofDay = rounds.filter((_, index) => index % dayCount === day);
		const entries = ofDay.flatMap(({team, troubles}, index) => [...planWork(team, roundStarts[index]), ...planTroubles(troubles, roundStarts[index])]);
		const comment = ofDay.map(({team, troubles}) => `${team.join(', ')} beside ${troubles.join(', ')}`).join('; then ');
		writeDay(`planned-${formatNumber(day)}`, `${comment}.`, entries);
	}

	console.log(`${dayCount} days for ${work.length} kinds of planned work beside ${troubles.length} kinds of trouble`);
};

/** A kind of change is followed by the others, since one change alone would leave the rest of its turn without any. */
const planBeside = (label, start) => label.startsWith('config_change')
	? Array.from({length: Math.ceil(turnFor / changeEvery)}, (_, index) => ({
		planned: true,
		line: formatEntry(`config_change ${changes[index % changes.length]}`, start + (index * changeEvery), {}),
	}))
	: planEntries(label, start, {length: turnFor, alone: true});

const planSilences = ({kind, fields}, start) => silenceStarts.map((late, index) => {
	const share = index === silenceStarts.length - 1 ? '1.0' : '0.34';
	const text = `service = "@s0", share = ${share}, ${fields}, for_s = ${silentFor}`;

	return {planned: false, line: formatEntry(kind, start + late, parseFields(text))};
});

const writeSilent = others => {
	for (const label of others) {
		const [kind] = label.split(' ');
		const entries = turnStarts.flatMap((start, turn) => [
			...planBeside(label, start), ...planSilences(silences[turn], start),
		]);
		const turns = silences.map(silence => silence.kind).join('; then ');
		const comment = `${kind} beside instances that fall silent and go on: ${turns}.`;
		writeDay(`silent-beside-${kind.replaceAll('_', '-')}`, comment, entries);
	}

	console.log(`${others.length} days of silent instances`);
};

const listed = readListedKinds();
const isListed = label => kinds.get(label).always || listed.has(label.split(' ')[0]);

fs.mkdirSync(values.out, {recursive: true});

if (values.around || values.silent) {
	const others = values.others.split(',').map(label => label.trim()).filter(Boolean);
	const unknown = [values.around, ...others].filter(label => label && !kinds.has(label));

	if (unknown.length > 0) {
		throw new Error(`not in the table of kinds: ${unknown.join(', ')}`);
	}

	const playable = others.filter(label => isListed(label));

	if (values.silent) {
		writeSilent(playable);
	} else {
		writeAround(values.around, playable);
	}
} else if (values.planned) {
	writePlanned(sortBySeed([...kinds.keys()].filter(label => isListed(label))));
} else {
	writePairs(sortBySeed([...kinds.keys()].filter(label => isListed(label) && !kinds.get(label).plannedOnly)));
}
