import {isPeerMessage} from '@fescuestair/agreement';
import {CommandPriority, isOneOf, isObjectWith} from '@fescuestair/core';
import {
	createLinkCommands, isFindFatesMessage, isGossipMessage, isJoinMessage, isName, isPollStateMessage, isRecordFatesMessage, LinkKind, ProposalError,
	type LinkCommands, type LinkFault, type LinkMessage, type LinkReplier, type LinkReply,
} from '@fescuestair/protocol';
import {type RequestEventStore} from '@fescuestair/fates';
import {type ReplicaRunner} from '@fescuestair/replication';
import {type GossipHost} from '@fescuestair/runtime';
import {isCommandRequest, createPublicStateUpdate, type CommandRequest} from '@fescuestair/state';
import {type StateMachine} from './state-machine.js';

export type LinkHandlersOptions = {
	readonly runner: ReplicaRunner;
	readonly stateMachine: StateMachine;
	readonly gossip: GossipHost;
	readonly fates: RequestEventStore;
	readonly propose: (request: CommandRequest) => Promise<unknown>;
	readonly findLeaderAddress: () => string | undefined;
	readonly acceptAgreement: (message: Extract<LinkMessage, {kind: LinkKind.Agreement}>) => boolean;
	readonly recordCandidate: (message: Extract<LinkMessage, {kind: LinkKind.Join}>) => void;
	readonly onFault: (fault: LinkFault) => void;
};

const isAgreementMessage = isObjectWith({
	kind: isOneOf([LinkKind.Agreement]), groupId: isName, fromId: isName, fromAddress: isName, toId: isName, message: isPeerMessage,
});
const isProposeMessage = isObjectWith({command: isCommandRequest});

/** Creates the handlers of link messages from other daemons. */
export function createLinkHandlers(options: LinkHandlersOptions): LinkCommands {
	const {
		runner, stateMachine, gossip, fates, propose, findLeaderAddress, acceptAgreement, recordCandidate, onFault,
	} = options;

	const handleProposal = async (request: CommandRequest): Promise<LinkReply> => {
		try {
			return {kind: 'answer', answer: await propose(request)};
		} catch (error) {
			const isNotCommitted = error instanceof ProposalError && error.isCertainlyLost;

			return isNotCommitted ? {kind: 'not_leader', leaderAddress: findLeaderAddress()} : {kind: 'error', message: String(error)};
		}
	};

	const handleFindFates = async (requestId: string): Promise<LinkReply> => ({kind: 'fates', events: await fates.findEvents(requestId)});

	const createStateReply = (publicVersion: number): LinkReply => {
		const {publicState, recentChanges} = stateMachine.getState();

		return {
			kind: 'state',
			ageMs: runner.canServeReads() ? 0 : undefined,
			...createPublicStateUpdate(publicState, recentChanges, publicVersion),
			leaderAddress: findLeaderAddress(),
			controlAddresses: runner.getState().members.map(member => member.address),
		};
	};

	const commands = createLinkCommands({onFault});
	commands.registerCommand(LinkKind.Agreement, isAgreementMessage, command => {
		if (acceptAgreement(command)) {
			runner.receive(command.fromId, command.message);
		}

		return true;
	}, CommandPriority.High);
	commands.registerCommand(LinkKind.Gossip, isGossipMessage, command => {
		gossip.receive(command);

		return true;
	});
	commands.registerCommand(LinkKind.Propose, isProposeMessage, ({command, reply}) => {
		void sendReply(reply, handleProposal(command));

		return true;
	});
	commands.registerCommand(LinkKind.PollState, isPollStateMessage, ({publicVersion, reply}) => {
		reply?.(createStateReply(publicVersion));

		return true;
	});
	commands.registerCommand(LinkKind.RecordFates, isRecordFatesMessage, ({events}) => {
		fates.append(events);

		return true;
	});
	commands.registerCommand(LinkKind.FindFates, isFindFatesMessage, ({requestId, reply}) => {
		void sendReply(reply, handleFindFates(requestId));

		return true;
	});
	commands.registerCommand(LinkKind.Join, isJoinMessage, command => {
		recordCandidate(command);

		return true;
	});

	return commands;
}

async function sendReply(reply: LinkReplier, answer: Promise<LinkReply>): Promise<void> {
	try {
		reply?.(await answer);
	} catch (error) {
		reply?.({kind: 'error', message: String(error)});
	}
}
