import {setTimeout as sleep} from 'node:timers/promises';
import {type Clock} from '@fescuestair/core';
import {
	callAndValidate, LinkMessageKind, ProposalError, type LinkMessage, type LinkReply,
} from '@fescuestair/protocol';
import {isCommandResponse, type CommandResponse, type CommandRequest} from '@fescuestair/state';
import {type Links} from '@fescuestair/transport';
import {type StateFollower} from './state-follower.js';

/** Proposes commands to the control replicas. */
export type ControlClient = {
	/** Resolves with the answer to the committed command; throws a `ProposalError` that says whether the command may still be committed. */
	readonly propose: (request: CommandRequest, deadlineMs: number, options?: ProposeOptions) => Promise<CommandResponse>;
};

export type ProposeOptions = {
	/**
	Gives up once the state of this entry is stale. By then no leader has confirmed the state to any entry for the maximum staleness, so waiting until
	the deadline would be useless.
	*/
	readonly endsWhenStale?: boolean;
};

const retryDelayMs = 50;
const callTimeoutMs = 1500;

/**
Creates the client. It asks the leader if one is known, else the replicas in turn, and retries until the deadline.

@example
```
const answer = await client.propose({kind: CommandKind.ClearSuspicion, fingerprint}, clock.readMonotonicMs() + 1000);
```
*/
export function createControlClient({clock, links, follower}: {clock: Clock; links: Links; follower: StateFollower}): ControlClient {
	return {
		async propose(request, deadlineMs, {endsWhenStale = false} = {}) {
			// A majority may have recovered without this entry knowing it yet, so an entry whose state is stale still makes one call.
			const firstCallDeadlineMs = clock.readMonotonicMs() + callTimeoutMs;
			const getRemainingMs = () => {
				const staleDeadlineMs = endsWhenStale ? Math.max(firstCallDeadlineMs, follower.getFreshnessDeadlineMs()) : Number.POSITIVE_INFINITY;

				return Math.min(deadlineMs, staleDeadlineMs) - clock.readMonotonicMs();
			};

			const message: LinkMessage = {kind: LinkMessageKind.Propose, command: request};
			let address = follower.getLeaderAddress();
			let isPossiblyCommitted = false;

			for (let attempt = 0; getRemainingMs() > 0; attempt++) {
				address ??= follower.listControlAddresses()[attempt % Math.max(1, follower.listControlAddresses().length)];
				const reply = await callReplica({
					links, address, message, timeoutMs: Math.min(callTimeoutMs, getRemainingMs()),
				});

				if (reply?.kind === 'answer' && isCommandResponse(reply.answer)) {
					return reply.answer;
				}

				// Proposing a command again is safe: the replicated state recognises a resend by its key, token or request.
				isPossiblyCommitted ||= reply?.kind !== 'not_leader';
				address = reply?.kind === 'not_leader' ? reply.leaderAddress : undefined;
				await sleep(retryDelayMs);
			}

			throw new ProposalError(!isPossiblyCommitted, 'no majority of control replicas answered in time');
		},
	};
}

type ReplicaCall = {
	readonly links: Links;
	readonly address: string | undefined;
	readonly message: LinkMessage;
	readonly timeoutMs: number;
};

async function callReplica({links, address, message, timeoutMs}: ReplicaCall): Promise<LinkReply | undefined> {
	if (address === undefined) {
		return undefined;
	}

	try {
		return await callAndValidate(links, {address, message, timeoutMs});
	} catch {
		return undefined;
	}
}
