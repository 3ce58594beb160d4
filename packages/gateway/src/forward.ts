import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {type Clock} from '@fescuestair/core';
import {withdrawRetry, type RetryBudget} from '@fescuestair/limits';
import {
	chooseInstance, computeWaitMs, decideWait, HealthEvent, WaitDecision, type Placement, type PromptPart, type PromptSize,
} from '@fescuestair/routing';
import {
	chooseStore, computeFetchUntil, findPlaces, formatSalt, type PartPlace,
} from '@fescuestair/parts';
import {type Log} from '@fescuestair/runtime';
import {
	CallKind, chooseTarget, type RouteTable, type Service, type StoreFigures,
} from '@fescuestair/traffic';
import {AttemptEnd, startAttempt, type Attempt, type AttemptHead, type AttemptResult} from './attempt.js';
import {type CallerCodec, type CacheOrder, type UpstreamCodec} from './codecs.js';
import {createEventCutter} from './event-cutter.js';
import {
	filterHeaders, Outcome, sendOwnAnswer, type Exchange, type ExchangeEnd,
} from './exchange.js';
import {type PartsClient} from './parts-client.js';
import {
	describeOption, noteCached, type InstanceBook, type InstanceEntry, type Visit,
} from './instance-book.js';

export type ForwardOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly availabilityZone: string;
	readonly callerCodec: CallerCodec;
	readonly upstreamCodec: UpstreamCodec;
	readonly book: InstanceBook;
	readonly parts: PartsClient;
	readonly getTable: () => RouteTable;
	readonly getWeights: () => ReadonlyMap<string, number>;
	/** Share of the system's repeats that this daemon may still make for a service. */
	readonly budgets: Map<string, RetryBudget>;
	readonly createBudget: (service: string) => RetryBudget;
	readonly isLeaving: () => boolean;
	/** Work in ms of the requests that wait here for an instance, by service, in the order in which they came. */
	readonly waiting: Map<Exchange, {readonly service: string; readonly workMs: number}>;
	readonly countGateways: () => number;
};

/** Sendings that were not run cost little; past this many the service is taken to be full. */
const maxRefusedSendings = 4;
/** Time below which a request has no chance to be answered. */
const leastTimeMs = 20;
/** A sound instance says something within this many times what is expected, and never less than the floor. */
const silenceFactor = 4;
const silenceFloorMs = 900;
const plainSilenceFloorMs = 800;
const leastRetryAfterMs = 200;
const longestRetryAfterMs = 2000;
const retrySpreadMs = 400;
const fullStatus = 503;
/** How often a request that waits looks for a free instance, at most; each looks at its own moments. */
const pollMs = 25;

/** The tries of one request so far. */
type Progress = {
	/** Instances that it may have run on. */
	sent: number;
	refused: number;
	/** How often it was looked whether an instance is free. */
	waits: number;
	readonly triedIds: Set<string>;
	readonly story: Array<Readonly<Record<string, unknown>>>;
};

/**
Forwards one request until it has a final answer. A request that may not be repeated is sent once; whatever was not run goes elsewhere
while the time and the budget of repeats allow; a resumable stream goes on at another instance after its last whole event.

@example
```
const {outcome, status} = await forwardExchange(options, exchange);
```
*/
export async function forwardExchange(options: ForwardOptions, exchange: Exchange): Promise<ExchangeEnd & {readonly story: Progress['story']}> {
	const {clock, book, getTable} = options;
	const {route, response} = exchange;
	const service = getTable().services.get(chooseTarget(route.targets, Math.random()).service);
	const progress: Progress = {
		sent: 0, refused: 0, waits: 0, triedIds: new Set(), story: [],
	};
	const stream = createCallerStream(options, exchange);
	const isRepeatable = route.kind === CallKind.Safe || (route.kind === CallKind.Streaming && route.isResumable);
	const controls: {attempt: Attempt | undefined} = {attempt: undefined};
	let isLeft = false;
	let isExpired = false;

	const onClose = () => {
		if (!response.writableFinished) {
			isLeft = true;
			controls.attempt?.cancel('the caller left');
		}
	};

	response.on('close', onClose);
	const timer = setTimeout(() => {
		isExpired = true;
		controls.attempt?.cancel('the deadline passed');
	}, Math.max(0, exchange.deadlineMs - clock.readMonotonicMs()));

	const end = (outcome: Outcome, status: number, reason: string) => {
		options.waiting.delete(exchange);
		clearTimeout(timer);
		response.off('close', onClose);

		return {
			outcome, status, reason, story: progress.story,
		};
	};

	const refuse = (reason: string, retryAfterMs?: number) => {
		// Once it may have run somewhere, no status may say that it has not.
		if (progress.sent > 0) {
			return fail(502, reason);
		}

		sendOwnAnswer(response, {
			status: fullStatus, message: reason, retryAfterMs: spreadRetry(retryAfterMs ?? leastRetryAfterMs), isClosing: options.isLeaving(),
		});

		return end(Outcome.Refused, fullStatus, reason);
	};

	const fail = (status: number, reason: string) => {
		sendOwnAnswer(response, {status, message: reason, isClosing: options.isLeaving()});

		return end(Outcome.Failed, status, reason);
	};

	if (service === undefined) {
		return refuse('the service is not declared');
	}

	for (;;) {
		if (isLeft) {
			return end(Outcome.Left, 0, 'the caller left');
		}

		const timeLeftMs = exchange.deadlineMs - clock.readMonotonicMs();

		if (isExpired || timeLeftMs < leastTimeMs) {
			return progress.sent > 0 ? fail(504, 'the deadline passed') : refuse('the deadline passed before it was sent');
		}

		const found = place(options, exchange, {service, progress});

		if (found === undefined) {
			return refuse('no instance of the service takes requests now');
		}

		const decision = decideWait({
			...found.placement,
			waitedMs: clock.readMonotonicMs() - exchange.startedAtMs,
			aheadMs: sumAhead(options, exchange, service),
			targetMs: route.targetMs,
			patienceMs: Math.min(exchange.deadlineMs - exchange.startedAtMs, route.patienceMs ?? Number.POSITIVE_INFINITY),
		});

		if (decision === WaitDecision.Refuse) {
			return refuse('all instances are too busy to answer in time', found.placement.queueMs);
		}

		if (decision === WaitDecision.Wait) {
			progress.waits++;
			options.waiting.set(exchange, {service: service.name, workMs: found.placement.workMs});
			await sleep(pollMs * (1 + Math.random()));
			continue;
		}

		options.waiting.delete(exchange);
		const result = await visit(options, exchange, {
			...found, service, progress, stream, isRepeatable, controls,
		});
		controls.attempt = undefined;

		if (isLeft) {
			return end(Outcome.Left, 0, 'the caller left');
		}

		if (result.end === AttemptEnd.NotRun) {
			progress.refused++;

			if (result.isUnreachable ? progress.refused > maxRefusedSendings : progress.refused > maxRefusedSendings || !takeRepeat(options, service.name)) {
				return stream.isBegun() ? breakOff(stream, end) : refuse(`turned away: ${result.reason}`, found.placement.expectedMs);
			}

			continue;
		}

		progress.sent++;
		const isFaulty = result.end === AttemptEnd.Broken || (result.head!.status >= 500 && isRepeatable);
		const mayRepeat = isFaulty && isRepeatable && !isExpired && progress.sent < route.maxAttempts && takeRepeat(options, service.name);

		if (mayRepeat) {
			continue;
		}

		if (result.end === AttemptEnd.Complete) {
			if (stream.isBegun()) {
				stream.finish();

				return end(Outcome.Answered, result.head!.status, '');
			}

			sendUpstreamAnswer(response, result, options.isLeaving());

			return end(result.head!.status < 500 ? Outcome.Answered : Outcome.Failed, result.head!.status, result.head!.status < 500 ? '' : 'the instance failed');
		}

		if (stream.isBegun()) {
			return breakOff(stream, end);
		}

		return isExpired ? fail(504, 'the deadline passed') : fail(502, result.reason);
	}
}

function breakOff<Result>(stream: CallerStream, end: (outcome: Outcome, status: number, reason: string) => Result): Result {
	stream.breakOff();

	return end(Outcome.Failed, 200, 'the stream broke off');
}

// The other gateways have as many waiting; free instances are shared by all.
function sumAhead({waiting, book, countGateways}: ForwardOptions, exchange: Exchange, service: Service): number {
	let workMs = 0;

	for (const [one, {service: name, workMs: oneMs}] of waiting) {
		if (one === exchange) {
			break;
		}

		workMs += name === service.name ? oneMs : 0;
	}

	return workMs * countGateways() / Math.max(1, book.listOpen(service.name).length);
}

function spreadRetry(retryAfterMs: number): number {
	return Math.min(longestRetryAfterMs, Math.max(leastRetryAfterMs, retryAfterMs)) + (Math.random() * retrySpreadMs);
}

// Each daemon holds a share of the budget; no message is needed to spend it.
function takeRepeat({budgets, createBudget}: ForwardOptions, service: string): boolean {
	const {budget, isAllowed} = withdrawRetry(budgets.get(service) ?? createBudget(service));
	budgets.set(service, budget);

	return isAllowed;
}

type Found = {
	readonly entry: InstanceEntry;
	readonly placement: Placement;
	readonly cache: CacheOrder | undefined;
	readonly uncachedTokens: number;
};

function place(options: ForwardOptions, exchange: Exchange, {service, progress}: {readonly service: Service; readonly progress: Progress}): Found | undefined {
	const {clock, book, availabilityZone, getWeights} = options;
	const {prompt} = exchange.caller;
	const nowMs = clock.readMonotonicMs();
	const open = book.listOpen(service.name).filter(entry => !progress.triedIds.has(entry.held.record.id));
	const isEngine = service.engine !== undefined && prompt !== undefined;

	if (!isEngine) {
		const placement = chooseInstance({
			options: open.map(entry => describeOption(entry, {nowMs, prompt: undefined})), nowMs, availabilityZone, prompt: undefined,
		});

		return placement && {
			entry: book.get(placement.id)!, placement, cache: undefined, uncachedTokens: 0,
		};
	}

	const prefillTokensPerMs = book.getPrefillTokensPerMs(service.name);
	const wanted = getWeights().get(prompt.model) ?? 0;
	const versions = new Map(open.map(entry => [entry.held.record.id, findVersion(entry, prompt.model)]));
	// New requests go to the newest weights, as long as some instance has them.
	const current = open.filter(entry => (versions.get(entry.held.record.id) ?? 0) >= wanted);
	const candidates = current.length > 0 ? current : open;
	const orders = new Map<number | undefined, CacheOrder | undefined>();
	const described = new Map(candidates.map(entry => {
		const version = versions.get(entry.held.record.id);

		if (!orders.has(version)) {
			orders.set(version, version === undefined ? undefined : createCacheOrder(options, exchange, version));
		}

		const cache = orders.get(version);

		return [entry.held.record.id, {cache, option: describeOption(entry, {
			nowMs, prompt: cache && {...cache, parts: prompt.parts, service, stores: listStores(options)},
		})}];
	}));
	const placement = chooseInstance({
		options: [...described.values()].map(one => one.option), nowMs, availabilityZone, prompt: describePrompt(exchange, {service, prefillTokensPerMs}),
	});

	if (placement === undefined) {
		return undefined;
	}

	const {cache, option} = described.get(placement.id)!;

	return {
		entry: book.get(placement.id)!, placement, cache, uncachedTokens: Math.max(0, prompt.promptTokens - option.cachedTokens - option.fetchableTokens),
	};
}

function findVersion(entry: InstanceEntry, model: string): number | undefined {
	return entry.held.record.models.find(one => one.name === model)?.version;
}

function listStores({getTable}: ForwardOptions): readonly StoreFigures[] {
	return getTable().config.services.flatMap(service => service.store === undefined ? [] : [service.store]);
}

// The salt is the wall: an isolated organisation shares with nobody, and no version of the weights with another.
function createCacheOrder(options: ForwardOptions, {organisation, caller}: Exchange, weightVersion: number): CacheOrder {
	const {model, parts} = caller.prompt!;
	const salt = formatSalt({isolatedOrganisation: organisation?.isIsolated === true ? organisation.name : undefined, model, weightVersion});
	const view = options.parts.getView();
	const fetchUntilMs = computeFetchUntil(view, options.clock.readMonotonicMs());
	const places = findPlaces(view, salt, parts);

	return {
		salt,
		weightVersion,
		fetchFrom: fetchUntilMs === undefined ? [] : places.map(place => place?.storeAddress),
		fetchUntilMs,
		saveTo: planSaves(options, {salt, parts, places}),
	};
}

type SaveInput = {
	readonly salt: string;
	readonly parts: readonly PromptPart[];
	readonly places: ReadonlyArray<PartPlace | undefined>;
};

// The last part belongs to this request alone and does not return.
function planSaves(options: ForwardOptions, {salt, parts, places}: SaveInput): ReadonlyArray<string | undefined> {
	const stores = listStores(options).map(store => ({address: store.address, capacityTokens: store.capacityTokens, firstByteMs: store.firstByteMs}));

	return parts.map((part, position) => {
		const isShared = position < parts.length - 1;

		return isShared && places[position] === undefined && !options.parts.isBeingSaved({salt, id: part.id}) ? chooseStore(stores, part)?.address : undefined;
	});
}

function describePrompt({caller}: Exchange, {service, prefillTokensPerMs}: {readonly service: Service; readonly prefillTokensPerMs: number}): PromptSize {
	const {promptTokens, maxOutputTokens, expectedOutputTokens, parts} = caller.prompt!;
	const shared = parts.slice(0, -1);
	let sharedTokens = 0;

	for (const part of shared) {
		sharedTokens += part.tokens;
	}

	return {
		promptTokens,
		outputTokens: expectedOutputTokens ?? maxOutputTokens,
		cacheTokens: service.engine!.cacheTokens,
		prefillTokensPerMs,
		affinityKey: shared.at(-1)?.id,
		sharedTokens,
	};
}

type VisitInput = Found & {
	readonly service: Service;
	readonly progress: Progress;
	readonly stream: CallerStream;
	readonly isRepeatable: boolean;
	readonly controls: {attempt: Attempt | undefined};
};

async function visit(options: ForwardOptions, exchange: Exchange, input: VisitInput): Promise<AttemptResult> {
	const {clock, book, callerCodec, upstreamCodec} = options;
	const {
		entry, placement, cache, uncachedTokens, service, progress, stream, isRepeatable, controls,
	} = input;
	const {request, requestId, body, route, organisation, caller} = exchange;
	const {record} = entry.held;
	const startedAtMs = clock.readMonotonicMs();
	const isStreaming = route.kind === CallKind.Streaming;
	progress.triedIds.add(record.id);
	let firstPieceMs: number | undefined;
	const loadBefore = entry.load;

	const one: Visit = {
		startedAtMs,
		uncachedTokens,
		workMs: cache === undefined ? 0 : uncachedTokens / book.getPrefillTokensPerMs(service.name),
		heldTokens: caller.prompt === undefined ? 0 : caller.prompt.promptTokens + caller.prompt.maxOutputTokens,
		silenceMs: Math.max(isStreaming ? silenceFloorMs : plainSilenceFloorMs, silenceFactor * placement.expectedMs),
		onSilent() {
			if (isRepeatable) {
				attempt.cancel('the instance fell silent');
			}
		},
	};

	const noteFirstPiece = () => {
		if (firstPieceMs === undefined) {
			firstPieceMs = clock.readMonotonicMs() - startedAtMs;
			book.noteFirstPiece(entry, one);
		}
	};

	const attempt = startAttempt({
		address: record.address,
		agent: entry.agent,
		codec: upstreamCodec,
		requestId,
		method: request.method!,
		target: request.url!,
		headers: [
			...filterHeaders(request.rawHeaders, name => name !== 'content-length' && name !== 'expect' && callerCodec.isForwarded(name)),
			...(body.length > 0 || request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined
				? ['Content-Length', String(body.length)] : []),
			...upstreamCodec.encodeDispatch({
				timeLeftMs: Math.max(1, Math.floor(exchange.deadlineMs - startedAtMs)),
				instanceId: record.id,
				organisation: organisation?.name,
				priority: organisation?.priority ?? route.priority,
				cache,
				lastEventId: stream.getLastId(),
			}).flat(),
		],
		body,
		onBytes() {
			book.noteBytes(entry);
		},
		onHead({answer}) {
			if (answer.load !== undefined) {
				entry.load = {...entry.load, report: {...answer.load, atMs: clock.readMonotonicMs(), ownAtReport: entry.load.own}};
			}

			noteFirstPiece();
		},
		...(isStreaming && {
			onData: (bytes: Buffer, head: AttemptHead) => stream.push(bytes, head, () => {
				attempt.resume();
			}),
		}),
	});
	controls.attempt = attempt;
	book.begin(entry, one);

	for (const [position, part] of (cache === undefined ? [] : caller.prompt!.parts).entries()) {
		options.parts.noteUse({salt: cache!.salt, id: part.id});

		if (cache!.saveTo[position] !== undefined) {
			options.parts.noteSave({salt: cache!.salt, id: part.id});
		}
	}

	const result = await attempt.result;
	noteFirstPiece();
	book.end(entry, one);
	noteResult(options, entry, result);

	if (result.end === AttemptEnd.Complete && cache !== undefined && result.head!.status < 300) {
		noteCached(entry, caller.prompt!.parts, {salt: cache.salt, capacityTokens: service.engine!.cacheTokens});
	}

	if (result.end !== AttemptEnd.Complete) {
		stream.drop();
	}

	progress.story.push({
		instance: record.id,
		end: result.end,
		...(result.reason !== '' && {reason: result.reason}),
		...(result.head !== undefined && {status: result.head.status}),
		...(progress.waits > 0 && {waits: progress.waits}),
		expectedMs: Math.round(placement.expectedMs),
		firstPieceMs: Math.round(firstPieceMs ?? 0),
		tookMs: Math.round(clock.readMonotonicMs() - startedAtMs),
		own: loadBefore.own,
		...(result.connectMs !== undefined && {connectMs: Math.round(result.connectMs)}),
		waitMs: Math.round(computeWaitMs(loadBefore.work, startedAtMs)),
		...(loadBefore.report !== undefined && {
			reported: `${loadBefore.report.running},${loadBefore.report.waiting}`, reportAgeMs: Math.round(startedAtMs - loadBefore.report.atMs),
		}),
		...(cache !== undefined && {
			weightVersion: cache.weightVersion,
			uncachedTokens,
			fetched: cache.fetchFrom.filter(address => address !== undefined).length,
			saved: cache.saveTo.filter(address => address !== undefined).length,
		}),
	});

	return result;
}

// A refusal for want of room is no fault of the instance; a cancel from here says nothing of it.
function noteResult({book}: ForwardOptions, entry: InstanceEntry, result: AttemptResult): void {
	if (result.isUnreachable) {
		book.judge(entry, HealthEvent.Unreachable);
	} else if (result.end === AttemptEnd.Complete) {
		book.judge(entry, result.head!.status >= 500 ? HealthEvent.Failed : HealthEvent.Answered);
	} else if (result.end === AttemptEnd.Broken && result.reason !== 'the caller left' && result.reason !== 'the deadline passed') {
		book.judge(entry, HealthEvent.Failed);
	}
}

function sendUpstreamAnswer(response: Exchange['response'], {head, body}: AttemptResult, isLeaving: boolean): void {
	const headers = filterHeaders(head!.rawHeaders, name => name !== 'content-length');
	const isBodyless = response.req.method === 'HEAD' || head!.status === 204 || head!.status === 304;

	if (!isBodyless) {
		headers.push('Content-Length', String(body.length));
	}

	if (isLeaving) {
		headers.push('Connection', 'close');
	}

	response.writeHead(head!.status, headers);
	response.end(body);
}

/** The answer to the caller while it streams; its head is that of the first instance. */
type CallerStream = {
	/** Passes bytes on; returns false to pause until `onDrain`. */
	readonly push: (bytes: Buffer, head: AttemptHead, onDrain: () => void) => boolean;
	readonly isBegun: () => boolean;
	/** The event after which another instance goes on. */
	readonly getLastId: () => string | undefined;
	/** Drops an event that was cut short. */
	readonly drop: () => void;
	/** Ends a whole answer. */
	readonly finish: () => void;
	/** Ends the connection, so that what came does not look whole. */
	readonly breakOff: () => void;
};

function createCallerStream({isLeaving}: ForwardOptions, {response, route, caller}: Exchange): CallerStream {
	const cutter = route.isResumable ? createEventCutter() : undefined;
	let isBegun = false;

	const begin = (head: AttemptHead) => {
		isBegun = true;
		const headers = filterHeaders(head.rawHeaders, () => true);

		if (isLeaving()) {
			headers.push('Connection', 'close');
		}

		response.writeHead(head.status, headers);
	};

	return {
		push(bytes, head, onDrain) {
			const whole = cutter === undefined ? bytes : cutter.push(bytes);

			if (whole === undefined || response.destroyed) {
				return true;
			}

			if (!isBegun) {
				begin(head);
			}

			if (response.write(whole)) {
				return true;
			}

			response.once('drain', onDrain);

			return false;
		},
		isBegun: () => isBegun,
		getLastId: () => cutter?.getLastId() ?? caller.lastEventId,
		drop() {
			cutter?.reset();
		},
		finish() {
			response.end(cutter?.takeRest());
		},
		breakOff() {
			response.destroy();
		},
	};
}
