import {type Clock} from '@fescuestair/core';
import {
	createInstanceRegistry, takeRecord, tidyRegistry, type DaemonCard, type FleetNews, type HelloReply, type InstanceNote,
	type InstanceRegistry, type Published,
} from '@fescuestair/instances';
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
};

/** Keeps up with all coordinators: each is told of this daemon, and tells what this daemon lacks. */
export type CoordinatorClient = {
	readonly takePublished: (published: Published) => void;
	readonly takeNotes: (notes: readonly InstanceNote[]) => void;
	/** Whether what is in force was learned from a coordinator that was current; or nobody is, for too long. */
	readonly isCurrent: () => boolean;
	/** Link addresses of all gateways, this one too. */
	readonly getGateways: () => readonly string[];
	/** Link address of the replica that leads, as far as is known. */
	readonly getLeaderAddress: () => string | undefined;
	/** Tells all coordinators at once, as when this daemon leaves. */
	readonly sayHello: () => void;
	readonly stop: () => void;
};

const helloMs = 400;
/** As long as nothing is known, coordinators are asked more often: callers are turned away meanwhile. */
const firstHelloMs = 100;
const callTimeoutMs = 1200;
/** A coordinator that did not answer for this long is forgotten, but for the seeds. */
const forgetMs = 30_000;
/** Without any coordinator that is current, a gateway serves by the newest it was told from then on: stale is better than nothing. */
const graceMs = 2000;

/**
Creates the client of the coordinators.

@example
```
const client = createCoordinatorClient({getCard, getSeeds, links, clock, log, onPublished, onInstances});
```
*/
export function createCoordinatorClient(options: CoordinatorClientOptions): CoordinatorClient {
	const {
		getCard, getSeeds, links, clock, log, onPublished, onInstances,
	} = options;
	const heard = new Map<string, number>();
	const lost = new Set<string>();
	const startedAtMs = clock.readMonotonicMs();
	let registry = createInstanceRegistry();
	let revision = 0;
	let configVersion = 0;
	let hasCurrent = false;
	let gateways: readonly string[] = [];
	let leaderAddress: string | undefined;

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
			registry = takeRecord(registry, record, {nowMs: clock.readMonotonicMs(), ageMs, loadingLeftMs}).registry;
		}

		if (registry !== before) {
			onInstances(registry);
		}
	};

	const takeNews = (news: FleetNews, isCurrent: boolean) => {
		takeNotes(news.notes);
		// A coordinator that has just started, or is cut off, has not heard most of them.
		gateways = isCurrent || gateways.length === 0 ? news.gateways : gateways;

		for (const card of news.coordinators) {
			if (!heard.has(card.linkAddress)) {
				heard.set(card.linkAddress, clock.readMonotonicMs());
			}
		}
	};

	const takeReply = (address: string, reply: HelloReply) => {
		heard.set(address, clock.readMonotonicMs());

		if (reply.news !== undefined) {
			takeNews(reply.news, reply.isCurrent);
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
		onReply(address, reply) {
			takeReply(address, reply);

			if (lost.delete(address)) {
				log.info('coordinator regained', {address});
			}
		},
		onLost(address, error) {
			if (!lost.has(address)) {
				lost.add(address);
				log.warn('coordinator lost', {address, reason: String(error)});
			}
		},
	});

	const sayHello = () => {
		const nowMs = clock.readMonotonicMs();
		registry = tidyRegistry(registry, nowMs);

		for (const [address, heardAtMs] of heard) {
			if (nowMs - heardAtMs >= forgetMs) {
				heard.delete(address);
			}
		}

		greeter.greetAll([...new Set([...getSeeds(), ...heard.keys()])], {knowsNothing: configVersion === 0});
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
		isCurrent: () => hasCurrent || (configVersion > 0 && clock.readMonotonicMs() - startedAtMs >= graceMs),
		getGateways: () => gateways,
		getLeaderAddress: () => leaderAddress,
		sayHello,
		stop() {
			clearTimeout(timer);
		},
	};
}
