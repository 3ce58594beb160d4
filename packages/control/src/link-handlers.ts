import {isPeerMessage} from '@fescuestair/agreement';
import {CommandPriority, isOneOf, isObjectWith} from '@fescuestair/core';
import {
	createLinkCommands, isFindRequestEventsMessage, isGossipMessage, isJoinMessage, isName, isPollStateMessage, isRecordRequestEventsMessage, LinkMessageKind, ProposalError,
	type LinkCommands, type LinkFault, type LinkMessage, type LinkReplyCallback, type LinkReply,
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
	readonly acceptAgreement: (message: Extract<LinkMessage, {kind: LinkMessageKind.Agreement}>) => boolean;
	readonly recordCandidate: (message: Extract<LinkMessage, {kind: LinkMessageKind.Join}>) => void;
	readonly onFault: (fault: LinkFault) => void;
};

const isAgreementMessage = isObjectWith({
	kind: isOneOf([LinkMessageKind.Agreement]), groupId: isName, fromId: isName, fromAddress: isName, toId: isName, message: isPeerMessage,
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
			const isNotCommitted = error instanceof ProposalError && error.isDefiniteFailure;

			return isNotCommitted ? {kind: 'not_leader', leaderAddress: findLeaderAddress()} : {kind: 'error', message: String(error)};
		}
	};

	const handleFindRequestEvents = async (requestId: string): Promise<LinkReply> => ({kind: 'fates', events: await fates.findEvents(requestId)});

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
	commands.registerCommand(LinkMessageKind.Agreement, isAgreementMessage, command => {
		if (acceptAgreement(command)) {
			runner.receive(command.fromId, command.message);
		}

		return true;
	}, CommandPriority.High);
	commands.registerCommand(LinkMessageKind.Gossip, isGossipMessage, command => {
		gossip.receive(command);

		return true;
	});
	commands.registerCommand(LinkMessageKind.Propose, isProposeMessage, ({command, reply}) => {
		void sendReply(reply, handleProposal(command));

		return true;
	});
	commands.registerCommand(LinkMessageKind.PollState, isPollStateMessage, ({publicVersion, reply}) => {
		reply?.(createStateReply(publicVersion));

		return true;
	});
	commands.registerCommand(LinkMessageKind.RecordRequestEvents, isRecordRequestEventsMessage, ({events}) => {
		fates.append(events);

		return true;
	});
	commands.registerCommand(LinkMessageKind.FindRequestEvents, isFindRequestEventsMessage, ({requestId, reply}) => {
		void sendReply(reply, handleFindRequestEvents(requestId));

		return true;
	});
	commands.registerCommand(LinkMessageKind.Join, isJoinMessage, command => {
		recordCandidate(command);

		return true;
	});

	return commands;
}

async function sendReply(reply: LinkReplyCallback, answer: Promise<LinkReply>): Promise<void> {
	try {
		reply?.(await answer);
	} catch (error) {
		reply?.({kind: 'error', message: String(error)});
	}
}
