import {setTimeout as sleep} from 'node:timers/promises';
import {type Clock} from '@fescuestair/core';
import {
	callChecked, LinkKind, ProposalError, type LinkMessage, type LinkReply,
} from '@fescuestair/protocol';
import {isStateAnswer, type Answer, type Request} from '@fescuestair/state';
import {type Links} from '@fescuestair/transport';
import {type StateFollower} from './state-follower.js';

/** Proposes commands at the control replicas. */
export type ControlClient = {
	/** Resolves with the committed answer; throws a `ProposalError` that says whether the command may still be carried out. */
	readonly propose: (request: Request, deadlineMs: number, options?: ProposeOptions) => Promise<Answer>;
};

export type ProposeOptions = {
	/** Gives up once this entry may no longer take its knowledge for fresh: no majority answers anyone then, and waiting longer is in vain. */
	readonly endsWhenStale?: boolean;
};

const retryMs = 50;
const callTimeoutMs = 1500;

/**
Creates the client.

@example
```
const answer = await client.propose({kind: CommandKind.ClearSuspicion, fingerprint}, clock.readMonotonicMs() + 1000);
```
*/
export function createControlClient({clock, links, follower}: {clock: Clock; links: Links; follower: StateFollower}): ControlClient {
	return {
		async propose(request, deadlineMs, {endsWhenStale = false} = {}) {
			// Where control has just come back this entry may not know yet: it asks once in any case.
			const firstCallDeadlineMs = clock.readMonotonicMs() + callTimeoutMs;
			const getTimeLeftMs = () => {
				const staleAtMs = endsWhenStale ? Math.max(firstCallDeadlineMs, follower.getFreshDeadlineMs()) : Number.POSITIVE_INFINITY;

				return Math.min(deadlineMs, staleAtMs) - clock.readMonotonicMs();
			};

			const message: LinkMessage = {kind: LinkKind.Propose, command: request};
			let address = follower.getLeaderAddress();
			let wasSent = false;

			for (let turn = 0; getTimeLeftMs() > 0; turn++) {
				address ??= follower.listControlAddresses()[turn % Math.max(1, follower.listControlAddresses().length)];
				const reply = await callOnce({
					links, address, message, timeoutMs: Math.min(callTimeoutMs, getTimeLeftMs()),
				});

				if (reply?.kind === 'answer' && isStateAnswer(reply.answer)) {
					return reply.answer;
				}

				// Every command may be proposed twice: the state tells a resend by its key, token or request.
				wasSent ||= reply?.kind !== 'not_leader';
				address = reply?.kind === 'not_leader' ? reply.leaderAddress : undefined;
				await sleep(retryMs);
			}

			throw new ProposalError(!wasSent, 'no majority of control replicas answered in time');
		},
	};
}

type CallInput = {
	readonly links: Links;
	readonly address: string | undefined;
	readonly message: LinkMessage;
	readonly timeoutMs: number;
};

async function callOnce({links, address, message, timeoutMs}: CallInput): Promise<LinkReply | undefined> {
	if (address === undefined) {
		return undefined;
	}

	try {
		return await callChecked(links, {address, message, timeoutMs});
	} catch {
		return undefined;
	}
}
