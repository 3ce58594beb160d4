import {type Clock} from '@fescuestair/core';
import {
	createInstanceRegistry, createNote, GreetingRole, InstanceStage, setLeaving, pickHomes, takeRecord, takeRenewals, tidyRegistry, type DaemonCard, type FleetNews, type HelloReply,
	type InstanceNote, type InstanceRecord, type InstanceRegistry, type Published,
} from '@fescuestair/instances';
import {callChecked, LinkKind} from '@fescuestair/protocol';
import {createGreeter, type Log} from '@fescuestair/runtime';
import {type Links} from '@fescuestair/transport';

export type CoordinatorClientOptions = {
	readonly getCard: () => DaemonCard;
	readonly getSeeds: () => readonly string[];
	readonly links: Links;
	readonly clock: Clock;
	readonly log: Log;
	/** Called with each version that is newer than the one before. */
	readonly onPublished: (published: Published) => void;
	readonly onInstances: (registry: InstanceRegistry) => void;
	/** Called in each round, for what has to be looked at from time to time. */
	readonly onRound: (nowMs: number) => void;
	/** Another coordinator is the primary home from now on. */
	readonly onHome: (home: string | undefined, before: string | undefined) => void;
};

/** Keeps up with the coordinators: two of them are the homes of this daemon and tell it what changes; the others are visited in turns. */
export type CoordinatorClient = {
	readonly takePublished: (published: Published) => void;
	readonly takeNotes: (notes: readonly InstanceNote[]) => void;
	/** Marks an instance that said in an answer that it leaves, and tells the others by way of the home until it has heard. */
	readonly reportLeaving: (record: InstanceRecord) => void;
	/** Whether what is in force was learned from a coordinator that was current; or nobody is, for too long. */
	readonly isCurrent: () => boolean;
	readonly countGateways: () => number;
	/** Link address of the primary home. */
	readonly getHome: () => string | undefined;
	/** Tells all coordinators at once, as when this daemon leaves. */
	readonly sayHelloToAll: () => void;
	readonly stop: () => void;
};

/** A gateway that stopped is out of the directory after four of them. */
const helloMs = 500;
/** As long as nothing is known, coordinators are asked more often: callers are turned away meanwhile. */
const firstHelloMs = 200;
/** Word of instances that say the same as before: an instance is taken for lost after more than three times as long. */
const fleetMs = 1500;
/** Rounds between two visits of coordinators that are no home: what they know that the homes do not is rare. */
const roundsPerVisit = 2;
const callTimeoutMs = 1200;
/** A coordinator that did not answer for this long is forgotten, but for the seeds. */
const forgetMs = 30_000;
/** Without any coordinator that is current, a gateway serves by the newest it was told from then on: stale is better than nothing. */
const graceMs = 2000;

type Known = {
	readonly availabilityZone: string | undefined;
	/** When it last answered, or was first named. */
	readonly heardAtMs: number;
	readonly isCurrent: boolean;
	readonly isLost: boolean;
};

/**
Creates the client of the coordinators. What it sends and receives does not grow with the number of coordinators or gateways.

@example
```
const client = createCoordinatorClient({getCard, getSeeds, links, clock, log, onPublished, onInstances, onRound, onHome});
```
*/
export function createCoordinatorClient(options: CoordinatorClientOptions): CoordinatorClient {
	const {
		getCard, getSeeds, links, clock, log, onPublished, onInstances, onRound, onHome,
	} = options;
	const known = new Map<string, Known>();
	const startedAtMs = clock.readMonotonicMs();
	let registry = createInstanceRegistry();
	let revision = 0;
	let configVersion = 0;
	let hasCurrent = false;
	let gateways: number | undefined;
	let leaderAddress: string | undefined;
	let home: string | undefined;
	let round = 0;
	let fleetDueMs = 0;
	/** Incarnations of instances that leave, by id, of which no home has heard yet. */
	const unreported = new Map<string, number>();

	const takePublished = (published: Published) => {
		const lacksText = published.configText === undefined && published.configVersion > configVersion;

		if (published.revision <= revision || lacksText) {
			return;
		}

		revision = published.revision;
		configVersion = Math.max(configVersion, published.configVersion);
		onPublished(published);
	};

	const takeNotes = (notes: readonly InstanceNote[]) => {
		const before = registry;

		for (const {record, ageMs, loadingLeftMs} of notes) {
			if (record.stage === InstanceStage.Draining && registry.held.get(record.id)?.record.stage === InstanceStage.Ready) {
				log.info('told that an instance leaves', {id: record.id, incarnation: record.incarnation});
			}

			registry = takeRecord(registry, record, {nowMs: clock.readMonotonicMs(), ageMs, loadingLeftMs}).registry;
		}

		if (registry !== before) {
			onInstances(registry);
		}
	};

	const reportLeaving = async () => {
		if (home === undefined) {
			return;
		}

		const nowMs = clock.readMonotonicMs();
		const reported = [...unreported].filter(([id, incarnation]) => registry.held.get(id)?.record.incarnation === incarnation);
		unreported.clear();

		if (reported.length === 0) {
			return;
		}

		const notes = reported.map(([id]) => createNote(registry.held.get(id)!, nowMs));

		try {
			await callChecked(links, {address: home, message: {kind: LinkKind.ReportInstances, notes}, timeoutMs: callTimeoutMs});
		} catch (error) {
			log.info('a home was not told of instances that leave', {home, instances: reported.length, reason: String(error)});

			for (const [id, incarnation] of reported) {
				unreported.set(id, incarnation);
			}
		}
	};

	const takeFleet = (fleet: FleetNews, isCurrent: boolean) => {
		const nowMs = clock.readMonotonicMs();
		registry = takeRenewals(registry, fleet.renewals, nowMs);
		onInstances(registry);
		// A coordinator that has just started, or is cut off, has not heard of most.
		gateways = isCurrent || gateways === undefined ? Math.max(1, fleet.gateways) : gateways;
		fleetDueMs = nowMs + fleetMs;

		for (const card of fleet.coordinators) {
			const before = known.get(card.linkAddress);
			known.set(card.linkAddress, {
				availabilityZone: card.availabilityZone, heardAtMs: before?.heardAtMs ?? nowMs, isCurrent: before?.isCurrent ?? false, isLost: before?.isLost ?? false,
			});
		}
	};

	const takeReply = (address: string, reply: HelloReply) => {
		const before = known.get(address);
		known.set(address, {
			availabilityZone: before?.availabilityZone, heardAtMs: clock.readMonotonicMs(), isCurrent: reply.isCurrent, isLost: false,
		});

		if (before?.isLost === true) {
			log.info('coordinator regained', {address});
		}

		takeNotes(reply.news?.notes ?? []);

		if (reply.fleet !== undefined) {
			takeFleet(reply.fleet, reply.isCurrent);
		}

		if (reply.published !== undefined) {
			takePublished(reply.published);
		}

		leaderAddress = reply.isCurrent ? reply.leaderAddress ?? leaderAddress : leaderAddress;
		hasCurrent ||= reply.isCurrent && configVersion > 0;
	};

	const greeter = createGreeter({
		links,
		timeoutMs: callTimeoutMs,
		getHello: () => ({card: getCard(), publishedRevision: revision, configVersion}),
		onReply: takeReply,
		onLost(address, error) {
			const before = known.get(address);

			if (before?.isLost !== true) {
				log.warn('coordinator lost', {address, reason: String(error)});
			}

			known.set(address, {
				availabilityZone: before?.availabilityZone, heardAtMs: before?.heardAtMs ?? clock.readMonotonicMs(), isCurrent: false, isLost: true,
			});
		},
	});

	const listAddresses = () => [...new Set([...getSeeds(), ...known.keys()])];

	const chooseHomes = () => {
		const {name, availabilityZone} = getCard();
		// One that has not answered the hello of the round before is passed over until it does.
		const candidates = listAddresses().map(address => ({
			address,
			availabilityZone: known.get(address)?.availabilityZone,
			isSound: known.get(address)?.isCurrent === true && !greeter.isAwaiting(address),
			isLeader: address === leaderAddress,
		}));
		const homes = pickHomes(name, availabilityZone, candidates);

		if (homes[0] !== home) {
			const before = home;
			home = homes[0];
			log.info('home chosen', {home, before});
			onHome(home, before);
		}

		return homes;
	};

	const visitNext = (addresses: readonly string[], homes: readonly string[]) => {
		const others = addresses.filter(address => !homes.includes(address) && !greeter.isAwaiting(address));

		if (others.length > 0) {
			greeter.greet(others[Math.floor(round / roundsPerVisit) % others.length]!, {greeting: GreetingRole.Visitor, wantsFleet: configVersion === 0});
		}
	};

	const sayHello = () => {
		const nowMs = clock.readMonotonicMs();
		registry = tidyRegistry(registry, nowMs);

		for (const [address, {heardAtMs}] of known) {
			if (nowMs - heardAtMs >= forgetMs) {
				known.delete(address);
			}
		}

		const homes = chooseHomes();

		for (const [place, address] of homes.entries()) {
			greeter.greet(address, {
				greeting: place === 0 ? GreetingRole.PrimaryHome : GreetingRole.SecondaryHome, wantsFleet: place === 0 && nowMs >= fleetDueMs,
			});
		}

		if (round % roundsPerVisit === 0 || configVersion === 0) {
			visitNext(listAddresses(), homes);
		}

		round++;

		if (unreported.size > 0) {
			void reportLeaving();
		}

		onRound(nowMs);
	};

	let timer: NodeJS.Timeout;

	const sayHelloAgain = () => {
		sayHello();
		timer = setTimeout(sayHelloAgain, configVersion === 0 ? firstHelloMs : helloMs);
	};

	sayHelloAgain();

	return {
		takePublished,
		takeNotes,
		reportLeaving({id, incarnation}) {
			registry = setLeaving(registry, {id, incarnation});
			unreported.set(id, incarnation);
			onInstances(registry);
			void reportLeaving();
		},
		isCurrent: () => hasCurrent || (configVersion > 0 && clock.readMonotonicMs() - startedAtMs >= graceMs),
		countGateways: () => gateways ?? 1,
		getHome: () => home,
		sayHelloToAll() {
			const homes = chooseHomes();

			for (const address of listAddresses()) {
				const place = homes.indexOf(address);
				const greetings = [GreetingRole.PrimaryHome, GreetingRole.SecondaryHome];
				greeter.greet(address, {greeting: greetings[place] ?? GreetingRole.Visitor, wantsNews: false});
			}
		},
		stop() {
			clearTimeout(timer);
		},
	};
}
