import {isPeerMessage} from '@fescuestair/agreement';
import {CommandPriority, isOneOf, isRecordOf} from '@fescuestair/core';
import {
	createLinkCommands, isFindFatesMessage, isGossipMessage, isJoinMessage, isName, isPollStateMessage, isRecordFatesMessage, LinkKind, ProposalError,
	type LinkCommands, type LinkFault, type LinkMessage, type LinkReplier, type LinkReply,
} from '@fescuestair/protocol';
import {type FateStore} from '@fescuestair/fates';
import {type ReplicaRunner} from '@fescuestair/replication';
import {type GossipHost} from '@fescuestair/runtime';
import {isStateRequest, listPublicNews, type Request} from '@fescuestair/state';
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
	readonly onFault: (fault: LinkFault) => void;
};

const isPeerAgreement = isRecordOf({
	kind: isOneOf([LinkKind.Agreement]), groupId: isName, fromId: isName, fromAddress: isName, toId: isName, message: isPeerMessage,
});
const isStateProposal = isRecordOf({command: isStateRequest});

/** Creates the handlers of messages from other processes. */
export function createControlCommands(options: LinkHandlerOptions): LinkCommands {
	const {
		runner, host, gossip, fates, propose, findLeaderAddress, acceptAgreement, noteJoin, onFault,
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

	const commands = createLinkCommands({onFault});
	commands.registerCommand(LinkKind.Agreement, isPeerAgreement, command => {
		if (acceptAgreement(command)) {
			runner.receive(command.fromId, command.message);
		}

		return true;
	}, CommandPriority.High);
	commands.registerCommand(LinkKind.Gossip, isGossipMessage, command => {
		gossip.receive(command);

		return true;
	});
	commands.registerCommand(LinkKind.Propose, isStateProposal, ({command, reply}) => {
		void replyWith(reply, answerProposal(command));

		return true;
	});
	commands.registerCommand(LinkKind.PollState, isPollStateMessage, ({publicVersion, reply}) => {
		reply?.(answerState(publicVersion));

		return true;
	});
	commands.registerCommand(LinkKind.RecordFates, isRecordFatesMessage, ({events}) => {
		fates.append(events);

		return true;
	});
	commands.registerCommand(LinkKind.FindFates, isFindFatesMessage, ({requestId, reply}) => {
		void replyWith(reply, answerFates(requestId));

		return true;
	});
	commands.registerCommand(LinkKind.Join, isJoinMessage, command => {
		noteJoin(command);

		return true;
	});

	return commands;
}

async function replyWith(reply: LinkReplier, answer: Promise<LinkReply>): Promise<void> {
	try {
		reply?.(await answer);
	} catch (error) {
		reply?.({kind: 'error', message: String(error)});
	}
}
