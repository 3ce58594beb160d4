import {callAndValidate, LinkMessageKind, ProposalError} from '@fescuestair/protocol';
import {type Links} from '@fescuestair/transport';

type LeaderClientOptions<Request> = {
	readonly links: Links;
	readonly proposeLocally: (request: Request) => Promise<unknown>;
	readonly findLeaderAddress: () => string | undefined;
};

const callTimeoutMs = 5000;

/** Proposes a command on this replica, or on the leader if another replica leads. */
export async function proposeAtLeader<Request>(options: LeaderClientOptions<Request>, request: Request): Promise<unknown> {
	const {links, proposeLocally, findLeaderAddress} = options;

	try {
		return await proposeLocally(request);
	} catch (error) {
		const address = findLeaderAddress();

		if (!(error instanceof ProposalError && error.message === 'not_leader') || address === undefined) {
			throw error;
		}

		const reply = await callAndValidate(links, {address, message: {kind: LinkMessageKind.Propose, command: request}, timeoutMs: callTimeoutMs});

		if (reply.kind !== 'answer') {
			throw new ProposalError(reply.kind === 'not_leader', 'there is no leader now');
		}

		return reply.answer;
	}
}
