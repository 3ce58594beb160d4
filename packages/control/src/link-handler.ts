import {type PeerMessage} from '@fescuestair/agreement';
import {CommandPriority} from '@fescuestair/core';
import {
	createLinkCommands, dispatchLinkMessage, LinkKind, ProposalError, type LinkMessage, type LinkReply,
} from '@fescuestair/protocol';
import {type FateStore} from '@fescuestair/fates';
import {type ReplicaRunner} from '@fescuestair/replication';
import {type GossipHost} from '@fescuestair/runtime';
import {type LinkHandler} from '@fescuestair/transport';
import {listPublicNews, type Request} from '@fescuestair/state';
import {type StateHost} from './state-host.js';

export type LinkHandlerOptions = {
	readonly runner: ReplicaRunner;
	readonly host: StateHost;
	readonly gossip: GossipHost;
	readonly fates: FateStore;
	readonly propose: (request: Request) => Promise<unknown>;
	readonly findLeaderAddress: () => string | undefined;
	readonly acceptAgreement: (message: Extract<LinkMessage, {kind: LinkKind.Agreement}>) => boolean;
	readonly noteJoin: (message: Extract<LinkMessage, {kind: LinkKind.Join}>) => void;
};

/** Creates the handler of messages from other processes. */
export function createLinkHandler(options: LinkHandlerOptions): LinkHandler {
	const {
		runner, host, gossip, fates, propose, findLeaderAddress, acceptAgreement, noteJoin,
	} = options;

	const answerProposal = async (request: Request): Promise<LinkReply> => {
		try {
			return {kind: 'answer', answer: await propose(request)};
		} catch (error) {
			const isRefused = error instanceof ProposalError && error.isCertainlyLost;

			return isRefused ? {kind: 'not_leader', leaderAddress: findLeaderAddress()} : {kind: 'error', message: String(error)};
		}
	};

	const answerFates = async (requestId: string): Promise<LinkReply> => ({kind: 'fates', events: await fates.findEvents(requestId)});

	const answerState = (publicVersion: number): LinkReply => {
		const {publicState, recentChanges} = host.getState();

		return {
			kind: 'state',
			ageMs: runner.canServeReads() ? 0 : undefined,
			...listPublicNews(publicState, recentChanges, publicVersion),
			leaderAddress: findLeaderAddress(),
			controlAddresses: runner.getState().members.map(member => member.address),
		};
	};

	const commands = createLinkCommands();
	commands.registerCommand(LinkKind.Agreement, command => {
		if (acceptAgreement(command)) {
			runner.receive(command.fromId, command.message as PeerMessage);
		}

		return true;
	}, CommandPriority.High);
	commands.registerCommand(LinkKind.Gossip, command => {
		gossip.receive(command);

		return true;
	});
	commands.registerCommand(LinkKind.Propose, ({command, reply}) => {
		void replyWith(reply, answerProposal(command as Request));

		return true;
	});
	commands.registerCommand(LinkKind.PollState, ({publicVersion, reply}) => {
		reply?.(answerState(publicVersion));

		return true;
	});
	commands.registerCommand(LinkKind.RecordFates, ({events}) => {
		fates.append(events);

		return true;
	});
	commands.registerCommand(LinkKind.FindFates, ({requestId, reply}) => {
		void replyWith(reply, answerFates(requestId));

		return true;
	});
	commands.registerCommand(LinkKind.Join, command => {
		noteJoin(command);

		return true;
	});

	return (message, reply) => {
		dispatchLinkMessage(commands, message, reply);
	};
}

async function replyWith(reply: ((answer: LinkReply) => void) | undefined, answer: Promise<LinkReply>): Promise<void> {
	try {
		reply?.(await answer);
	} catch (error) {
		reply?.({kind: 'error', message: String(error)});
	}
}
