import {isBoolean, isObjectWith, type Clock} from '@fescuestair/core';
import {
	coldBurstRequests, isPermitQuestions, isPermitReplies, maxReservationMs, permitValidityMs, reservePermit, type PermitAccount, type PermitQuestion, type PermitReply,
} from '@fescuestair/limits';
import {
	callAndValidate, LinkMessageKind, requireValid, type LinkCaller, type LinkCommands, type LinkReply, type LinkReplyCallback,
} from '@fescuestair/protocol';
import {type Logger} from './logger.js';
import {type RequestLimits} from './request-limits.js';

export type PermitGrantorOptions = {
	readonly clock: Clock;
	readonly links: LinkCaller;
	readonly log: Pick<Logger, 'info'>;
	readonly commands: LinkCommands;
	readonly requestLimits: RequestLimits;
	/** Term in which this replica leads the group; `undefined` while it does not, or cannot be sure. */
	readonly getLeadingTerm: () => number | undefined;
	/** Link address of the leader; `undefined` while none is known or this replica leads. */
	readonly findLeaderAddress: () => string | undefined;
	/** Longest time for which an earlier leader may take itself for the leader. */
	readonly leaseMs: number;
};

export type PermitGrantor = {
	/** Called periodically, so that the wait after a change of the leader begins with the change and not with the first question. */
	readonly refresh: () => void;
	/** Number of instances for which permits were granted lately. */
	readonly countAccounts: () => number;
	readonly stop: () => void;
};

type RelayedQuestion = {readonly questions: readonly PermitQuestion[]; readonly receivedAtMs: number; readonly reply: LinkReplyCallback};

/** Questions of this span are relayed to the leader in one call. */
const relayDelayMs = 2;
const relayTimeoutMs = 200;
/** Accounts without a permit for this long are dropped; their limits have ended or nobody uses them. */
const accountRetentionMs = 60_000;

/**
Creates the granting of permits at a replica. The leader of the group grants, since there is one at a time; the other replicas relay to it, so
that a daemon needs one connection and the leader gets few messages. A new leader grants none until those of its predecessor are used or void.

@example
```
const grantor = createPermitGrantor({clock, links, log, commands, requestLimits, getLeadingTerm, findLeaderAddress, leaseMs: 550});
```
*/
export function createPermitGrantor(options: PermitGrantorOptions): PermitGrantor {
	const {
		clock, links, log, commands, requestLimits, getLeadingTerm, findLeaderAddress, leaseMs,
	} = options;
	const accounts = new Map<string, {readonly incarnation: number; readonly account: PermitAccount}>();
	let grantingTerm: number | undefined;
	let openAtMs = 0;
	let relayed: RelayedQuestion[] = [];
	let timer: NodeJS.Timeout | undefined;

	// Returns the term in which this replica may grant, after it has noticed a change.
	const checkTerm = () => {
		const nowMs = clock.readMonotonicMs();
		const term = getLeadingTerm();

		if (term !== undefined && term !== grantingTerm) {
			accounts.clear();
			openAtMs = nowMs + leaseMs + maxReservationMs + permitValidityMs;
			grantingTerm = term;
			log.info('grants permits for limited instances', {term, afterMs: openAtMs - nowMs});
		}

		return term;
	};

	const expireAccounts = () => {
		const nowMs = clock.readMonotonicMs();

		for (const [id, {account}] of accounts) {
			if (nowMs - account.paidAtMs >= accountRetentionMs) {
				accounts.delete(id);
			}
		}
	};

	const grant = ({id, incarnation, maxWaitMs}: PermitQuestion, nowMs: number): PermitReply => {
		const run = {id, incarnation};
		const note = requestLimits.describe(run);
		const perSecond = requestLimits.getPerSecond(run);

		if (perSecond === undefined) {
			accounts.delete(id);

			return {note, startInMs: 0, retryInMs: 0};
		}

		const known = accounts.get(id);
		const {account, startAtMs, retryAtMs} = reservePermit(known?.incarnation === incarnation ? known.account : undefined, {
			perSecond, maxWaitMs, openAtMs, ...(requestLimits.isCold(run) && {burstRequests: coldBurstRequests}),
		}, nowMs);
		accounts.set(id, {incarnation, account});

		return {note, ...(startAtMs !== undefined && {startInMs: startAtMs - nowMs}), retryInMs: retryAtMs - nowMs};
	};

	const relayAll = async (questions: readonly RelayedQuestion[]) => {
		const address = findLeaderAddress();
		const askedAtMs = clock.readMonotonicMs();

		const replyToAll = (answer: LinkReply) => {
			for (const {reply} of questions) {
				reply?.(answer);
			}
		};

		if (address === undefined) {
			replyToAll({kind: 'error', message: 'no leader is known'});

			return;
		}

		try {
			const reply = await callAndValidate(links, {
				address, message: {kind: LinkMessageKind.ReservePermits, questions: questions.flatMap(one => one.questions), isRelayed: true}, timeoutMs: relayTimeoutMs,
			});

			if (reply.kind !== 'permits') {
				replyToAll(reply.kind === 'error' ? reply : {kind: 'error', message: `unexpected reply ${reply.kind}`});

				return;
			}

			const replies = requireValid(reply.replies, isPermitReplies, address);
			let position = 0;

			for (const one of questions) {
				const delayMs = askedAtMs - one.receivedAtMs;
				one.reply?.({
					kind: 'permits',
					replies: replies.slice(position, position + one.questions.length).map(({startInMs, retryInMs, note}) => ({
						note, ...(startInMs !== undefined && {startInMs: startInMs + delayMs}), retryInMs: retryInMs + delayMs,
					})),
				});
				position += one.questions.length;
			}
		} catch (error) {
			replyToAll({kind: 'error', message: String(error)});
		}
	};

	const flush = () => {
		timer = undefined;
		const questions = relayed;
		relayed = [];
		void relayAll(questions);
	};

	const unregister = commands.registerCommand(LinkMessageKind.ReservePermits, isObjectWith({questions: isPermitQuestions, isRelayed: isBoolean}), ({questions, isRelayed, reply}) => {
		const nowMs = clock.readMonotonicMs();
		requestLimits.merge(questions);

		if (checkTerm() !== undefined) {
			reply?.({kind: 'permits', replies: questions.map(question => grant(question, nowMs))});
		} else if (isRelayed) {
			reply?.({kind: 'error', message: 'not the leader'});
		} else {
			relayed.push({questions, receivedAtMs: nowMs, reply});
			timer ??= setTimeout(flush, relayDelayMs);
		}

		return true;
	});

	return {
		refresh() {
			checkTerm();
			expireAccounts();
		},
		countAccounts: () => accounts.size,
		stop() {
			unregister();
			clearTimeout(timer);
		},
	};
}
