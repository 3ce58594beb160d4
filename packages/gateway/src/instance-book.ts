import {type Clock} from '@fescuestair/core';
import {InstanceStage, type HeldInstance, type InstanceRegistry} from '@fescuestair/instances';
import {
	canTakeRequests, createCachedParts, createInstanceHealth, createInstanceLoad, HealthEvent, judgeInstance, mergeSample, type CachedParts,
	type InstanceHealth, type InstanceLoad, type InstanceOption, type PromptPart,
} from '@fescuestair/routing';
import {type Log} from '@fescuestair/runtime';
import {type EngineFigures, type Service, type StoreFigures} from '@fescuestair/traffic';
import {UpstreamAgent} from './upstream-agent.js';

/** A request that is at an instance. */
export type Visit = {
	readonly startedAtMs: number;
	/** Prompt tokens that no cache was believed to hold. */
	readonly uncachedTokens: number;
	readonly heldTokens: number;
	/** Longest time for which a sound instance says nothing. */
	readonly silenceMs: number;
	/** Ends the visit where it may go on elsewhere; the instance fell silent. */
	readonly onSilent: () => void;
};

/** What this daemon knows of one instance, and its connections there. */
export type InstanceEntry = {
	held: HeldInstance;
	load: InstanceLoad;
	health: InstanceHealth;
	readonly agent: UpstreamAgent;
	/** Parts believed to be cached, by salt. */
	cached: {readonly salt: string; readonly parts: CachedParts} | undefined;
	readonly visits: Set<Visit>;
	lastByteAtMs: number;
	/** Weight versions seen in answers go before those announced. */
	readonly refusedVersions: Map<string, number>;
};

export type InstanceBookOptions = {
	readonly clock: Clock;
	readonly log: Log;
	/** Connections to one instance that this daemon may hold, by service. */
	readonly getMaxConnections: (service: string) => number;
};

export type InstanceBook = {
	readonly applyRegistry: (registry: InstanceRegistry) => void;
	readonly get: (id: string) => InstanceEntry | undefined;
	/** Instances of a service that may take a request now. */
	readonly listOpen: (service: string) => readonly InstanceEntry[];
	readonly countKnown: (service: string) => number;
	readonly begin: (entry: InstanceEntry, visit: Visit) => void;
	/** The first piece came: its prompt has been read. */
	readonly noteFirstPiece: (entry: InstanceEntry, visit: Visit) => void;
	readonly noteBytes: (entry: InstanceEntry) => void;
	readonly end: (entry: InstanceEntry, visit: Visit) => void;
	readonly judge: (entry: InstanceEntry, event: HealthEvent) => void;
	readonly stop: () => void;
};

/** An instance that said nothing of itself for this long, and answered nothing either, is taken for lost: four announcements. */
const lostMs = 5500;
const watchMs = 100;
/** An instance that announced itself as cold is not loaded evenly before it is warm. */
const msPerSecond = 1000;

/**
Creates the book of instances of one gateway.

@example
```
const book = createInstanceBook({clock, log, getMaxConnections: () => 40});
```
*/
export function createInstanceBook({clock, log, getMaxConnections}: InstanceBookOptions): InstanceBook {
	const entries = new Map<string, InstanceEntry>();

	const judge = (entry: InstanceEntry, event: HealthEvent) => {
		const before = entry.health;
		entry.health = judgeInstance(before, event, clock.readMonotonicMs());

		if (entry.health.rests !== before.rests) {
			log.info(entry.health.rests === 0 ? 'instance is sound again' : 'instance rests', {
				instance: entry.held.record.id, event, rests: entry.health.rests, failureShare: Number(entry.health.failureShare.toFixed(2)),
				restMs: Math.round(Math.max(0, entry.health.restDeadlineMs - clock.readMonotonicMs())),
			});
		}
	};

	const isOpen = ({held, health, load, lastByteAtMs}: InstanceEntry, nowMs: number) => held.record.stage === InstanceStage.Ready
		&& held.loadingDeadlineMs <= nowMs
		&& nowMs - Math.max(held.heardAtMs, lastByteAtMs) < lostMs
		&& canTakeRequests(health, load.own, nowMs);

	// What is awaited from an instance that says nothing at all any more may go on elsewhere.
	const watch = () => {
		const nowMs = clock.readMonotonicMs();

		for (const entry of entries.values()) {
			const silentVisits = [...entry.visits].filter(visit => nowMs - Math.max(visit.startedAtMs, entry.lastByteAtMs) >= visit.silenceMs);

			if (silentVisits.length === 0) {
				continue;
			}

			judge(entry, HealthEvent.Silent);

			for (const visit of silentVisits) {
				visit.onSilent();
			}
		}
	};

	const timer = setInterval(watch, watchMs);

	return {
		applyRegistry(registry) {
			for (const held of registry.held.values()) {
				const known = entries.get(held.record.id);
				const isSame = known?.held.record.incarnation === held.record.incarnation && known.held.record.address === held.record.address;

				if (isSame) {
					known.held = held;
				} else if (held.record.stage !== InstanceStage.Gone) {
					known?.agent.destroy();
					entries.set(held.record.id, createEntry(held, {maxConnections: getMaxConnections(held.record.service), clock}));
				}
			}

			for (const [id, entry] of entries) {
				const isForgotten = !registry.held.has(id);

				if ((isForgotten || entry.held.record.stage === InstanceStage.Gone) && entry.visits.size === 0) {
					entry.agent.destroy();
					entries.delete(id);
				}
			}
		},
		get: id => entries.get(id),
		listOpen(service) {
			const nowMs = clock.readMonotonicMs();

			return [...entries.values()].filter(entry => entry.held.record.service === service && isOpen(entry, nowMs));
		},
		countKnown: service => [...entries.values()].filter(entry => entry.held.record.service === service).length,
		begin(entry, visit) {
			entry.visits.add(visit);
			entry.load = {
				...entry.load,
				own: entry.load.own + 1,
				ownPendingTokens: entry.load.ownPendingTokens + visit.uncachedTokens,
				ownHeldTokens: entry.load.ownHeldTokens + visit.heldTokens,
			};
		},
		noteFirstPiece(entry, visit) {
			entry.load = {
				...entry.load,
				ownPendingTokens: Math.max(0, entry.load.ownPendingTokens - visit.uncachedTokens),
				meanMs: mergeSample(entry.load.meanMs, clock.readMonotonicMs() - visit.startedAtMs),
			};
		},
		noteBytes(entry) {
			entry.lastByteAtMs = clock.readMonotonicMs();
		},
		end(entry, visit) {
			entry.visits.delete(visit);
			entry.load = {
				...entry.load,
				own: Math.max(0, entry.load.own - 1),
				ownHeldTokens: Math.max(0, entry.load.ownHeldTokens - visit.heldTokens),
				ownPendingTokens: entry.visits.size === 0 ? 0 : entry.load.ownPendingTokens,
			};
		},
		judge,
		stop() {
			clearInterval(timer);

			for (const entry of entries.values()) {
				entry.agent.destroy();
			}
		},
	};
}

function createEntry(held: HeldInstance, {maxConnections, clock}: {readonly maxConnections: number; readonly clock: Clock}): InstanceEntry {
	return {
		held,
		load: createInstanceLoad(),
		health: createInstanceHealth(),
		agent: new UpstreamAgent({maxConnections, readNowMs: clock.readMonotonicMs}),
		cached: undefined,
		visits: new Set(),
		lastByteAtMs: Number.NEGATIVE_INFINITY,
		refusedVersions: new Map(),
	};
}

export type OptionInput = {
	readonly nowMs: number;
	readonly prompt: OptionPrompt | undefined;
};

/** The parts of a prompt, the salt under which they are cached, and where they can be fetched. */
export type OptionPrompt = {
	readonly parts: readonly PromptPart[];
	readonly salt: string;
	readonly fetchFrom: ReadonlyArray<string | undefined>;
	readonly service: Service;
	readonly stores: readonly StoreFigures[];
};

/** Describes an instance for the choice of where a request goes. */
export function describeOption(entry: InstanceEntry, {nowMs, prompt}: OptionInput): InstanceOption {
	const {record, heardAtMs} = entry.held;

	return {
		id: record.id,
		availabilityZone: record.availabilityZone,
		slots: Math.max(1, record.slots),
		load: entry.load,
		failureShare: entry.health.failureShare,
		isCold: record.coldLeftMs > 0 && nowMs - heardAtMs < Math.min(record.coldLeftMs, msPerSecond * 10),
		...describeCoverage(entry, prompt),
	};
}

type Coverage = Pick<InstanceOption, 'cachedTokens' | 'fetchableTokens' | 'fetchMs'>;

/** Transfers between availability zones take twice as long. */
const otherZoneFactor = 2;
const bitsPerByte = 8;
const bitsPerMegabitMs = 1000;

// A prompt is spared the reading of a part only where all parts before it are at hand too.
function describeCoverage(entry: InstanceEntry, prompt: OptionPrompt | undefined): Coverage {
	if (prompt === undefined) {
		return {cachedTokens: 0, fetchableTokens: 0, fetchMs: 0};
	}

	const cachedTokens = entry.cached?.salt === prompt.salt ? entry.cached.parts.countCached(prompt.parts) : 0;
	let passedTokens = 0;
	let fetchableTokens = 0;
	let fetchMs = 0;

	for (const [position, part] of prompt.parts.entries()) {
		passedTokens += part.tokens;

		if (passedTokens <= cachedTokens) {
			continue;
		}

		const store = prompt.stores.find(one => one.address === prompt.fetchFrom[position]);

		if (store === undefined) {
			break;
		}

		fetchableTokens += part.tokens;
		fetchMs += estimateFetchMs(entry, store, {tokens: part.tokens, engine: prompt.service.engine!});
	}

	return {cachedTokens, fetchableTokens, fetchMs};
}

function estimateFetchMs(entry: InstanceEntry, store: StoreFigures, {tokens, engine}: {readonly tokens: number; readonly engine: EngineFigures}): number {
	const megabits = Math.max(1, Math.min(store.linkMegabitsPerSecond, engine.linkMegabitsPerSecond));
	const transferMs = tokens * engine.bytesPerToken * bitsPerByte / (megabits * bitsPerMegabitMs);

	return store.firstByteMs + (transferMs * (store.availabilityZone === entry.held.record.availabilityZone ? 1 : otherZoneFactor));
}

/** Notes the parts that an instance has read under a salt; those of another version of the weights are gone. */
export function noteCached(entry: InstanceEntry, parts: readonly PromptPart[], {salt, capacityTokens}: {readonly salt: string; readonly capacityTokens: number}): void {
	if (entry.cached?.salt !== salt) {
		entry.cached = {salt, parts: createCachedParts(capacityTokens)};
	}

	entry.cached.parts.add(parts);
}
