import {
	applyPermitAnswer, coldBurstRequests, planSafeShare, setClosedUntil, decidePermit, emptyPermitWallet, isLimitChange, isPermitUsable, maxReservationMs, mergeRequestLimits,
	minPermitsPerSecond, noRequestLimit, PermitDecision,
	permitValidityMs, recordRequestLimit, clearClosedUntil, reservePermit, depositPermit, planReturn, takeSparePermit, type Permit, type PermitAccount, type PermitWallet,
	type RequestLimit, type SafeShare,
} from '@fescuestair/limits';
import {type Span} from './limit-window.js';
import {createScheduler} from './scheduler.js';
import {createRandom} from './workload.js';

export type LimitSimulationOptions = {
	readonly seed: number;
	readonly gateways: number;
	/** Requests a second of all gateways together. */
	readonly requestsPerSecond: number;
	/** Number of gateways that get all the requests; default all. */
	readonly activeGateways?: number;
	readonly instances: number;
	/** The limit that an instance names at a time; `undefined` where it names none. */
	readonly getLimit: (instance: number, nowMs: number) => number | undefined;
	readonly durationMs: number;
	/** Time after which a caller leaves. */
	readonly patienceMs?: number;
	/** Share of requests that are sent to another instance again after their answer, as repeats and resumed streams are. */
	readonly repeatShare?: number;
	/** The leader is lost for these spans; another one leads after them. */
	readonly leaderLosses?: readonly Span[];
	/** Gateways with lower numbers than this exchange no messages with the other daemons in these spans, but still reach instances. */
	readonly cutGateways?: number;
	readonly cuts?: readonly Span[];
	/** Gateways with lower numbers than this stop in these spans and then go on with what they were doing. */
	readonly frozenGateways?: number;
	readonly freezes?: readonly Span[];
	/** Instances that are cold for a time, as all daemons learn by their announcements. */
	readonly cold?: ColdInstancesModel;
	/** The gateways send without regard to limits, for comparison. */
	readonly isUnlimited?: boolean;
};

export type ColdInstancesModel = {
	/** Instances with lower numbers than this are cold in these spans. */
	readonly instances: number;
	readonly spans: readonly Span[];
	readonly perSecond: number;
	/** Requests per second of all gateways that reach no granting daemon. */
	readonly ungrantedPerSecond: number;
	/** How many gateways a gateway takes to be there; default the true number. */
	readonly countGateways?: (gateway: number) => number;
};

export type LimitSimulation = {
	/** By instance, the times at which requests arrived. */
	readonly arrivalsMs: ReadonlyArray<readonly number[]>;
	readonly requests: number;
	readonly served: number;
	/** Time from the arrival of refused requests at a gateway to the refusal. */
	readonly refusedAfterMs: readonly number[];
	/** Delays that refused callers were told. */
	readonly returnDelaysMs: readonly number[];
	/** Times from the arrival of served requests to their sending. */
	readonly waitedMs: readonly number[];
	/** Messages between gateways and the granting daemon. */
	readonly questions: number;
};

type Gateway = {
	readonly number: number;
	readonly limits: RequestLimit[];
	readonly wallets: PermitWallet[];
	readonly shares: Array<SafeShare | undefined>;
	nextReturnMs: number | undefined;
	silentUntilMs: number;
};

type SimulatedRequest = {readonly gateway: Gateway; readonly startedAtMs: number; permitRefusals: number; sends: number};

const hopMs = 1.5;
/** Two hops each way with the delays for gathering questions. */
const questionMs = 5;
const noteMs = 10;
const callTimeoutMs = 250;
const silenceMs = 300;
const leaseMs = 550;
const workMs = 60;
const maxPermitRefusals = 6;
const msPerSecond = 1000;

/**
Simulates gateways that share instances with request limits, in virtual time, with the decisions that daemons use: who grants permits, what is
cut off, lost or frozen, and what instances name.

@example
```
const {arrivalsMs} = simulateLimits({seed: 1, gateways: 28, requestsPerSecond: 50, instances: 2, getLimit: () => 3, durationMs: 30_000});
```
*/
export function simulateLimits(options: LimitSimulationOptions): LimitSimulation {
	const {
		seed, requestsPerSecond, activeGateways = options.gateways, instances, getLimit, durationMs, patienceMs = 1500, repeatShare = 0,
		leaderLosses = [], cutGateways = 0, cuts = [], frozenGateways = 0, freezes = [], cold, isUnlimited = false,
	} = options;
	const random = createRandom(seed);
	const scheduler = createScheduler();
	const {getNowMs, schedule} = scheduler;
	const gateways: Gateway[] = Array.from({length: options.gateways}, (_, number) => ({
		number, limits: Array.from({length: instances}, () => noRequestLimit), wallets: Array.from({length: instances}, () => emptyPermitWallet),
		shares: [], nextReturnMs: undefined, silentUntilMs: 0,
	}));
	const grantorLimits: RequestLimit[] = Array.from({length: instances}, () => noRequestLimit);
	const accounts = new Map<number, PermitAccount>();
	const arrivalsMs: number[][] = Array.from({length: instances}, () => []);
	const refusedAfterMs: number[] = [];
	const returnDelaysMs: number[] = [];
	const waitedMs: number[] = [];
	let openAtMs = 0;
	let requests = 0;
	let served = 0;
	let questions = 0;

	const isWithin = (spans: readonly Span[]) => spans.some(({fromMs, toMs}) => getNowMs() >= fromMs && getNowMs() < toMs);
	const isCut = ({number}: Gateway) => number < cutGateways && isWithin(cuts);
	const findThawMs = ({number}: Gateway) => number < frozenGateways ? freezes.find(({fromMs, toMs}) => getNowMs() >= fromMs && getNowMs() < toMs)?.toMs : undefined;

	const isCold = (instance: number) => cold !== undefined && instance < cold.instances
		&& cold.spans.some(({fromMs, toMs}) => getNowMs() >= fromMs + noteMs && getNowMs() < toMs);
	const getPerSecond = (instance: number, {perSecond}: RequestLimit) => isCold(instance) ? Math.min(cold!.perSecond, perSecond ?? cold!.perSecond) : perSecond;

	const planShare = ({number, shares, limits}: Gateway, instance: number, maxWaitMs: number) => isCold(instance) && limits[instance]!.perSecond === undefined
		? planSafeShare(shares[instance], {
			daemon: `gateway-${number}`, instance: `i-${instance}`, daemons: cold?.countGateways?.(number) ?? gateways.length, perSecond: cold!.ungrantedPerSecond, maxWaitMs, nowMs: getNowMs(),
		})
		: undefined;

	const findOpeningMs = (gateway: Gateway, instance: number) => {
		const closedUntilMs = Math.max(gateway.wallets[instance]!.closedUntilMs, gateway.silentUntilMs);

		return getNowMs() < gateway.silentUntilMs ? Math.min(closedUntilMs, planShare(gateway, instance, Number.POSITIVE_INFINITY)?.startAtMs ?? closedUntilMs) : closedUntilMs;
	};

	// A frozen gateway does what is due once it runs again.
	const runAt = (gateway: Gateway, delayMs: number, run: () => void) => {
		schedule(delayMs, () => {
			const thawMs = findThawMs(gateway);

			if (thawMs === undefined) {
				run();
			} else {
				schedule(thawMs - getNowMs(), run);
			}
		});
	};

	const replaceLeader = () => {
		accounts.clear();
		openAtMs = getNowMs() + leaseMs + maxReservationMs + permitValidityMs;
	};

	for (const {toMs} of leaderLosses) {
		schedule(toMs, replaceLeader);
	}

	const learn = (gateway: Gateway, instance: number, limit: RequestLimit) => {
		const known = gateway.limits[instance]!;
		gateway.limits[instance] = limit;

		if (isLimitChange(known, limit)) {
			gateway.wallets[instance] = clearClosedUntil(gateway.wallets[instance]!);
		}

		return isLimitChange(known, limit);
	};

	const tellOthers = (from: Gateway, instance: number, limit: RequestLimit) => {
		if (isCut(from)) {
			return;
		}

		schedule(noteMs, () => {
			grantorLimits[instance] = mergeRequestLimits(grantorLimits[instance]!, limit);

			for (const gateway of gateways) {
				if (gateway !== from && !isCut(gateway)) {
					learn(gateway, instance, mergeRequestLimits(gateway.limits[instance]!, limit));
				}
			}
		});
	};

	const refuse = (request: SimulatedRequest, reopeningMs: number, turnMs: number) => {
		const {gateway, startedAtMs} = request;
		const {returnAtMs, nextReturnMs} = planReturn(gateway.nextReturnMs, {reopeningMs, spacingMs: turnMs, nowMs: getNowMs()});
		gateway.nextReturnMs = nextReturnMs;
		refusedAfterMs.push(getNowMs() - startedAtMs);
		returnDelaysMs.push(returnAtMs - getNowMs());
	};

	const send = (request: SimulatedRequest, instance: number) => {
		const {gateway} = request;
		const sentAtMs = getNowMs();
		request.sends++;

		if (request.sends === 1) {
			waitedMs.push(sentAtMs - request.startedAtMs);
		}

		schedule(hopMs, () => {
			arrivalsMs[instance]!.push(getNowMs());
			const perSecond = getLimit(instance, getNowMs());
			runAt(gateway, hopMs + (workMs * random()), () => {
				const limit = recordRequestLimit(gateway.limits[instance]!, {perSecond, hasRun: true, sentAtMs}, getNowMs());

				if (learn(gateway, instance, limit)) {
					tellOthers(gateway, instance, limit);
				}

				if (request.sends === 1 && random() < repeatShare) {
					place(request);
				} else {
					served++;
				}
			});
		});
	};

	const grant = (instance: number, maxWaitMs: number) => {
		const perSecond = getPerSecond(instance, grantorLimits[instance]!);

		if (perSecond === undefined) {
			return {startInMs: 0, retryInMs: 0};
		}

		const {account, startAtMs, retryAtMs} = reservePermit(accounts.get(instance), {
			perSecond, maxWaitMs, openAtMs, ...(isCold(instance) && {burstRequests: coldBurstRequests}),
		}, getNowMs());
		accounts.set(instance, account);

		return {startInMs: startAtMs === undefined ? undefined : startAtMs - getNowMs(), retryInMs: retryAtMs - getNowMs()};
	};

	const useOrReturn = (request: SimulatedRequest, instance: number, permit: Permit) => {
		const {gateway} = request;
		const perSecond = getPerSecond(instance, gateway.limits[instance]!);

		if (perSecond === undefined || isPermitUsable(permit, {perSecond, nowMs: getNowMs()})) {
			send(request, instance);
		} else {
			gateway.wallets[instance] = depositPermit(gateway.wallets[instance]!, permit, getNowMs());
			place(request);
		}
	};

	const ask = (request: SimulatedRequest, instance: number, maxWaitMs: number) => {
		const {gateway} = request;
		const askedAtMs = getNowMs();
		const view = gateway.limits[instance]!;
		questions++;

		const fail = () => {
			gateway.silentUntilMs = getNowMs() + silenceMs;
			gateway.wallets[instance] = setClosedUntil(gateway.wallets[instance]!, gateway.silentUntilMs);
			request.permitRefusals++;
			place(request);
		};

		schedule(questionMs, () => {
			if (isCut(gateway) || isWithin(leaderLosses)) {
				runAt(gateway, callTimeoutMs - questionMs, fail);

				return;
			}

			grantorLimits[instance] = mergeRequestLimits(grantorLimits[instance]!, view);
			const answer = grant(instance, maxWaitMs);
			runAt(gateway, questionMs, () => {
				if (isCut(gateway)) {
					fail();

					return;
				}

				learn(gateway, instance, mergeRequestLimits(gateway.limits[instance]!, grantorLimits[instance]!));
				const perSecond = getPerSecond(instance, gateway.limits[instance]!);

				if (perSecond === undefined) {
					place(request);

					return;
				}

				const {wallet, permit} = applyPermitAnswer(gateway.wallets[instance]!, answer, {perSecond, askedAtMs, nowMs: getNowMs()});
				gateway.wallets[instance] = wallet;

				if (permit === undefined) {
					request.permitRefusals++;
					place(request);
				} else {
					runAt(gateway, Math.max(0, permit.startAtMs - getNowMs()), () => {
						useOrReturn(request, instance, permit);
					});
				}
			});
		});
	};

	const refuseLimited = (request: SimulatedRequest) => {
		const {gateway} = request;
		const nowMs = getNowMs();
		const reopeningMs = Math.max(gateway.silentUntilMs, Math.min(...gateway.wallets.map(({closedUntilMs}) => closedUntilMs)));
		const perSecond = gateway.limits.reduce((sum, limit, instance) => sum + Math.max(minPermitsPerSecond, getPerSecond(instance, limit) ?? 0), 0);
		const turnMs = msPerSecond * gateways.length / perSecond;
		refuse(request, Math.max(nowMs, reopeningMs), turnMs);
	};

	const place = (request: SimulatedRequest) => {
		const {gateway} = request;
		const nowMs = getNowMs();
		const listOpen = (horizonMs: number) => gateway.wallets.map((wallet, instance) => ({wallet, instance, perSecond: getPerSecond(instance, gateway.limits[instance]!)}))
			.filter(({instance, perSecond}) => perSecond === undefined || findOpeningMs(gateway, instance) <= horizonMs);
		const available = listOpen(nowMs);
		const open = available.length > 0 ? available : listOpen(nowMs + maxReservationMs);
		const choice = open[Math.floor(random() * open.length)];

		if (choice === undefined || request.permitRefusals > maxPermitRefusals) {
			refuseLimited(request);

			return;
		}

		const {wallet, instance, perSecond} = choice;
		const hasAlternative = available.some(other => other.perSecond === undefined);
		const maxWaitMs = hasAlternative ? 0 : Math.min(maxReservationMs, Math.max(0, patienceMs - (nowMs - request.startedAtMs)));
		const decision = isUnlimited ? PermitDecision.Unlimited : decidePermit(wallet, {perSecond, maxWaitMs, nowMs});

		if (decision === PermitDecision.UseSpare) {
			gateway.wallets[instance] = takeSparePermit(wallet, {perSecond: perSecond!, nowMs});
		}

		const plan = getNowMs() < gateway.silentUntilMs && (decision === PermitDecision.Closed || decision === PermitDecision.Ask) ? planShare(gateway, instance, maxWaitMs) : undefined;

		if (plan?.startAtMs !== undefined) {
			gateway.shares[instance] = plan.share;
			runAt(gateway, plan.startAtMs - nowMs, () => {
				send(request, instance);
			});

			return;
		}

		if (decision === PermitDecision.Closed || (decision === PermitDecision.Ask && nowMs < gateway.silentUntilMs)) {
			request.permitRefusals++;
			runAt(gateway, Math.max(0, gateway.silentUntilMs - nowMs), () => {
				place(request);
			});
		} else if (decision === PermitDecision.Ask) {
			ask(request, instance, maxWaitMs);
		} else {
			send(request, instance);
		}
	};

	const startNext = () => {
		schedule(-Math.log(1 - random()) * msPerSecond / requestsPerSecond, () => {
			if (getNowMs() >= durationMs) {
				return;
			}

			requests++;
			const request = {
				gateway: gateways[Math.floor(random() * activeGateways)]!, startedAtMs: getNowMs(), permitRefusals: 0, sends: 0,
			};
			runAt(request.gateway, 0, () => {
				place(request);
			});
			startNext();
		});
	};

	startNext();
	scheduler.runUntil(durationMs + patienceMs);

	return {
		arrivalsMs, requests, served, refusedAfterMs, returnDelaysMs, waitedMs, questions,
	};
}
