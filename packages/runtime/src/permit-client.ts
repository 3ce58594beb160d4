import {type Clock} from '@fescuestair/core';
import {
	applyPermitAnswer, setClosedUntil, decidePermit, emptyPermitWallet, isPermitReplies, isPermitUsable, PermitDecision, clearClosedUntil, depositPermit,
	maxReservationMs, permitValidityMs, planSafeShare, takeSparePermit, type Permit, type PermitReply, type PermitWallet, type SafeShare,
} from '@fescuestair/limits';
import {
	callAndValidate, LinkMessageKind, requireValid, type LinkCaller,
} from '@fescuestair/protocol';
import {type Logger} from './logger.js';
import {type InstanceRun, type RequestLimits} from './request-limits.js';

export type PermitClientOptions = {
	readonly clock: Clock;
	readonly links: LinkCaller;
	readonly log: Pick<Logger, 'info' | 'warn'>;
	readonly requestLimits: RequestLimits;
	/** Link address of a replica of the group whose leader grants permits; `undefined` while none is known. */
	readonly getGrantorAddress: () => string | undefined;
	/** This daemon among those that share cold instances without a granting daemon; by default it sends them nothing then. */
	readonly sharing?: {readonly daemon: string; readonly countDaemons: () => number};
	/** Counts the outcomes of questions for permits. */
	readonly count: (name: string, labels: Readonly<Record<string, string>>) => void;
};

export type PermitOptions = {
	/** Longest time for which the request can wait for its permit. */
	readonly maxWaitMs: number;
	/** Requests with lower numbers are asked for first. */
	readonly priority: number;
};

export enum PermitOutcome {
	/** The request may be sent at once. */
	Unlimited = 'unlimited',
	Granted = 'granted',
	/** The limit leaves no request for it within its time. */
	Refused = 'refused',
	/** No daemon that grants permits answered; nothing is sent without knowing what others send. */
	Unanswered = 'unanswered',
}

export type PermitResult = {readonly outcome: PermitOutcome.Granted; readonly permit: Permit} | {readonly outcome: Exclude<PermitOutcome, PermitOutcome.Granted>};

/** Gets permits to send requests to instances that name a limit. */
export type PermitClient = {
	readonly reserve: (run: InstanceRun, options: PermitOptions) => Promise<PermitResult>;
	/** Whether a request may be sent now with a permit, which counts as used if it may. */
	readonly isUsable: (run: InstanceRun, permit: Permit) => boolean;
	/** Returns the permit of a request that ended before it was sent. */
	readonly release: (run: InstanceRun, permit: Permit) => void;
	/** Until when no permit for an instance that begins at once is to be had; a past time if one may be. */
	readonly getClosedUntilMs: (run: InstanceRun) => number;
	/** Whether the last question was not answered. */
	readonly isUnanswered: () => boolean;
	/** Whether the last question was not answered, but a change of the leader would explain it. */
	readonly isAnswerExpected: () => boolean;
	/** Called when a limit changed: instances whose limit rose or ended are open again. */
	readonly reopen: (id: string) => void;
	readonly stop: () => void;
};

type PendingQuestion = PermitOptions & {readonly run: InstanceRun; readonly resolve: (result: PermitResult) => void};

/** Questions of this span are sent in one message. */
const gatherMs = 2;
/** Time limit of a question: some ten times what it takes by way of a home and the leader. */
const callTimeoutMs = 250;
/** After an unanswered question none is sent for this long, and limited instances get no requests. */
const silenceMs = 300;
/** A change of the leader takes less than this. */
const leaderChangeMs = 2500;

/**
Creates the client of the daemons that grant permits. Requests are never sent to a limited instance on the strength of an equal share: where
the limit is smaller than the number of daemons, such shares add up to nothing, and unused ones are lost.

@example
```
const permits = createPermitClient({clock, links, log, requestLimits, getGrantorAddress: () => '10.0.0.4:7700', count});
const {outcome} = await permits.reserve({id: 'i-1', incarnation: 7}, {maxWaitMs: 100, priority: 0});
```
*/
export function createPermitClient(options: PermitClientOptions): PermitClient {
	const {
		clock, links, log, requestLimits, getGrantorAddress, sharing, count,
	} = options;
	const shares = new Map<string, SafeShare>();
	const wallets = new Map<string, PermitWallet>();
	let pending: PendingQuestion[] = [];
	let timer: NodeJS.Timeout | undefined;
	let silentUntilMs = Number.NEGATIVE_INFINITY;
	let unansweredSinceMs: number | undefined;

	const getWallet = ({id}: InstanceRun) => wallets.get(id) ?? emptyPermitWallet;

	const setWallet = ({id}: InstanceRun, wallet: PermitWallet) => {
		wallets.set(id, wallet);
	};

	// Where other daemons can't be asked, a cold instance still gets what is safe without knowing what they send.
	const planShare = (run: InstanceRun, maxWaitMs: number) => {
		const perSecond = requestLimits.getUngrantedPerSecond(run);

		return sharing === undefined || perSecond === undefined
			? undefined
			: planSafeShare(shares.get(run.id), {
				daemon: sharing.daemon, instance: run.id, daemons: sharing.countDaemons(), perSecond, maxWaitMs, nowMs: clock.readMonotonicMs(),
			});
	};

	const takeShare = (run: InstanceRun, {maxWaitMs}: PermitOptions): PermitResult | undefined => {
		const plan = planShare(run, Math.min(maxWaitMs, maxReservationMs));

		if (plan?.share === undefined || plan.startAtMs === undefined) {
			return undefined;
		}

		shares.set(run.id, plan.share);
		count('safe_shares_total', {});

		return {
			outcome: PermitOutcome.Granted, permit: {perSecond: requestLimits.getPerSecond(run) ?? 0, startAtMs: plan.startAtMs, endAtMs: plan.startAtMs + permitValidityMs},
		};
	};

	const isSilent = () => clock.readMonotonicMs() < silentUntilMs;

	const settle = ({run, resolve}: PendingQuestion, reply: PermitReply, askedAtMs: number) => {
		requestLimits.merge([reply.note]);
		const perSecond = requestLimits.getPerSecond(run);

		if (perSecond === undefined) {
			resolve({outcome: PermitOutcome.Unlimited});

			return;
		}

		const {wallet, permit} = applyPermitAnswer(getWallet(run), {startInMs: reply.startInMs, retryInMs: reply.retryInMs}, {
			perSecond, askedAtMs, nowMs: clock.readMonotonicMs(),
		});
		setWallet(run, wallet);
		resolve(permit === undefined ? {outcome: PermitOutcome.Refused} : {outcome: PermitOutcome.Granted, permit});
	};

	const fail = (questions: readonly PendingQuestion[], reason: string) => {
		const untilMs = clock.readMonotonicMs() + silenceMs;
		silentUntilMs = untilMs;

		if (unansweredSinceMs === undefined) {
			unansweredSinceMs = clock.readMonotonicMs();
			log.warn('no daemon grants permits for limited instances', {reason});
		}

		for (const {run, resolve, ...permitOptions} of questions) {
			setWallet(run, setClosedUntil(getWallet(run), untilMs));
			resolve(takeShare(run, permitOptions) ?? {outcome: PermitOutcome.Unanswered});
		}
	};

	const ask = async (questions: readonly PendingQuestion[]) => {
		const address = getGrantorAddress();
		const askedAtMs = clock.readMonotonicMs();

		if (address === undefined) {
			fail(questions, 'no replica of the group is known');

			return;
		}

		try {
			const reply = await callAndValidate(links, {
				address,
				message: {
					kind: LinkMessageKind.ReservePermits, questions: questions.map(({run, maxWaitMs}) => ({...requestLimits.describe(run), maxWaitMs})), isRelayed: false,
				},
				timeoutMs: callTimeoutMs,
			});

			if (reply.kind !== 'permits') {
				fail(questions, reply.kind === 'error' ? reply.message : `unexpected reply ${reply.kind}`);

				return;
			}

			const replies = requireValid(reply.replies, isPermitReplies, address);

			if (replies.length !== questions.length) {
				fail(questions, `${replies.length} replies to ${questions.length} questions`);

				return;
			}

			if (unansweredSinceMs !== undefined) {
				unansweredSinceMs = undefined;
				log.info('permits for limited instances are granted again', {address});
			}

			for (const [position, question] of questions.entries()) {
				settle(question, replies[position]!, askedAtMs);
			}
		} catch (error) {
			fail(questions, String(error));
		}
	};

	const flush = () => {
		timer = undefined;
		const questions = pending.toSorted((a, b) => a.priority - b.priority);
		pending = [];
		void ask(questions);
	};

	const askFor = async (run: InstanceRun, permitOptions: PermitOptions): Promise<PermitResult> => new Promise(resolve => {
		pending.push({...permitOptions, run, resolve});
		timer ??= setTimeout(flush, gatherMs);
	});

	const decide = async (run: InstanceRun, permitOptions: PermitOptions): Promise<PermitResult> => {
		const query = {perSecond: requestLimits.getPerSecond(run), maxWaitMs: permitOptions.maxWaitMs, nowMs: clock.readMonotonicMs()};
		const wallet = getWallet(run);

		switch (decidePermit(wallet, query)) {
			case PermitDecision.Unlimited: {
				return {outcome: PermitOutcome.Unlimited};
			}

			case PermitDecision.UseSpare: {
				const perSecond = query.perSecond!;
				setWallet(run, takeSparePermit(wallet, {perSecond, nowMs: query.nowMs}));

				return {outcome: PermitOutcome.Granted, permit: wallet.spare.find(permit => isPermitUsable(permit, {perSecond, nowMs: query.nowMs}))!};
			}

			case PermitDecision.Closed: {
				return (isSilent() ? takeShare(run, permitOptions) : undefined) ?? {outcome: PermitOutcome.Refused};
			}

			case PermitDecision.Ask: {
				return isSilent() ? takeShare(run, permitOptions) ?? {outcome: PermitOutcome.Unanswered} : askFor(run, permitOptions);
			}
		}
	};

	return {
		async reserve(run, permitOptions) {
			const result = await decide(run, permitOptions);

			if (result.outcome !== PermitOutcome.Unlimited) {
				count('permits_total', {outcome: result.outcome, reason: requestLimits.isCold(run) ? 'cold' : 'limit'});
			}

			return result;
		},
		isUsable(run, permit) {
			const perSecond = requestLimits.getPerSecond(run);

			return perSecond === undefined || isPermitUsable(permit, {perSecond, nowMs: clock.readMonotonicMs()});
		},
		release(run, permit) {
			setWallet(run, depositPermit(getWallet(run), permit, clock.readMonotonicMs()));
		},
		getClosedUntilMs(run) {
			if (requestLimits.getPerSecond(run) === undefined) {
				return Number.NEGATIVE_INFINITY;
			}

			const closedUntilMs = Math.max(getWallet(run).closedUntilMs, silentUntilMs);

			return isSilent() ? Math.min(closedUntilMs, planShare(run, Number.POSITIVE_INFINITY)?.startAtMs ?? closedUntilMs) : closedUntilMs;
		},
		isUnanswered: () => unansweredSinceMs !== undefined,
		isAnswerExpected: () => clock.readMonotonicMs() - (unansweredSinceMs ?? Number.POSITIVE_INFINITY) < leaderChangeMs,
		reopen(id) {
			const wallet = wallets.get(id);

			if (wallet !== undefined) {
				wallets.set(id, clearClosedUntil(wallet));
			}
		},
		stop() {
			clearTimeout(timer);

			for (const {resolve} of pending) {
				resolve({outcome: PermitOutcome.Unanswered});
			}
		},
	};
}
