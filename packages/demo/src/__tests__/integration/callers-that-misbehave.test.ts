import test from 'ava';
import {
	countDescriptors, kinds, linkKinds, readPeakMegabytes, sendCrowd, type Head, type Kind,
} from '@fescuestair/standins';
import {type EntryProcess, type System} from '../../index.js';
import {sendRequest, waitUntil, withSystem} from './test-helpers.js';

const heapMegabytes = 64;
/** Resident at most. */
const memoryMegabytes = 200;
/** Open at most. */
const maxDescriptors = 400;
/** What an entry takes during its start. */
const ownMegabytes = 160;
/** Of the rest, two fifths are for what others make it hold, and as much again for copies and what has not been collected. */
const limits = {bytes: (memoryMegabytes - ownMegabytes) * 400_000, connections: 160};
const descriptorPollMs = 50;

type Listener = {
	readonly title: string;
	readonly getAddress: (entry: EntryProcess) => string;
	readonly kinds: readonly Kind[];
	readonly createHead: (system: System) => Head;
};

const createCallerHead = (start: string) => ({organisationKey}: System): Head => () => [
	`${start} HTTP/1.1`, 'Host: entry', `Authorization: Bearer ${organisationKey}`, 'Content-Type: application/json',
];

const listeners: readonly Listener[] = [
	{
		title: 'prompts at an entry', getAddress: ({address}) => address, kinds, createHead: createCallerHead('POST /v1/chat/completions'),
	},
	{
		title: 'calls of a service at an entry', getAddress: ({address}) => address, kinds, createHead: createCallerHead('POST /v1/services/work-orders/orders'),
	},
	{
		title: 'the announcements of upstreams at an entry', getAddress: ({upstreamAddress}) => upstreamAddress, kinds, createHead: createCallerHead('POST /v1/upstreams'),
	},
	{
		title: 'the links of an entry', getAddress: ({peerAddress}) => peerAddress, kinds: linkKinds, createHead: () => () => [],
	},
];

const isAnswered = async ({entries, organisationKey}: System) => {
	const response = await sendRequest(`http://${entries[0]!.address}/v1/services/work-orders/orders`, {key: organisationKey}).catch(() => undefined);

	return response?.status === 200;
};

// Guards against callers that end an entry, or take it beyond its memory or its descriptors, at whichever of its listeners.
for (const {title, getAddress, kinds: kindsHere, createHead} of listeners) {
	for (const kind of kindsHere) {
		test.serial(`${title}: ${kind.title}`, async t => {
			await withSystem({
				entries: 1, controls: 1, entryEnvironment: {NODE_OPTIONS: `--max-old-space-size=${heapMegabytes}`},
				entryFlags: ['--max-caller-bytes', `${limits.bytes}`, '--max-caller-connections', `${limits.connections}`],
			}, async system => {
				const entry = system.entries[0]!;
				const [host, port] = getAddress(entry).split(':');
				const head = createHead(system);
				let mostDescriptors = 0;
				const poll = setInterval(async () => {
					mostDescriptors = Math.max(mostDescriptors, await countDescriptors(entry.process.pid).catch(() => 0));
				}, descriptorPollMs);
				const crowd = sendCrowd({
					...kind, host: host!, port: Number(port), script: connection => kind.write(head, connection),
				});
				t.teardown(() => {
					clearInterval(poll);
					crowd.leave();
				});
				await crowd.settle();
				t.true(entry.process.isRunning(), 'the process lives');
				const peakMegabytes = await readPeakMegabytes(entry.process.pid);
				t.log(`${Math.round(peakMegabytes)} MB, ${mostDescriptors} descriptors`);
				t.true(peakMegabytes <= memoryMegabytes, `${peakMegabytes} MB were resident`);
				t.true(mostDescriptors <= maxDescriptors, `${mostDescriptors} descriptors were open`);
				await waitUntil(async () => isAnswered(system));
				crowd.leave();
				await waitUntil(async () => isAnswered(system));
				t.true(entry.process.isRunning(), 'the process lives');
			});
		});
	}
}
