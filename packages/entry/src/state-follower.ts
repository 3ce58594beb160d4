import {type Clock} from '@fescuestair/core';
import {
	applyPublicChange, createPublicState, createPublicStateUpdate, type PublicChange, type PublicState,
} from '@fescuestair/state';
import {
	callAndValidate, LinkMessageKind, type LinkMessage, type LinkReply,
} from '@fescuestair/protocol';
import {type Links} from '@fescuestair/transport';

export type StateFollowerOptions = {
	readonly clock: Clock;
	readonly links: Links;
	/** Link addresses of control replicas from the settings; replies add the current ones. */
	readonly controlSeeds: readonly string[];
	/** Link addresses of other entries, which are polled when the leader does not answer. */
	readonly listPeerAddresses: () => readonly string[];
	readonly onChange?: (state: PublicState) => void;
	readonly pollIntervalMs?: number;
	/** Age from which the state counts as stale. */
	readonly maxStalenessMs?: number;
};

/** Follows the public part of the replicated state, and measures how stale its copy is. */
export type StateFollower = {
	readonly getState: () => PublicState;
	readonly isFresh: () => boolean;
	/** When the state becomes stale unless a reply confirms it before; by then no leader has confirmed it to any entry for the maximum staleness. */
	readonly getFreshnessDeadlineMs: () => number;
	readonly getLeaderAddress: () => string | undefined;
	readonly listControlAddresses: () => readonly string[];
	/** Creates the reply to a poll of another entry. */
	readonly answerPoll: (publicVersion: number) => LinkReply;
	readonly stop: () => void;
};

type StateReply = Extract<LinkReply, {kind: 'state'}>;

const maxRecentChanges = 512;
const minPollPauseMs = 10;
/** Polls are this many times as frequent while no leader answers. */
const leaderlessPollFactor = 4;

/**
Creates the follower of an entry. The age of the state counts from when the poll was sent, on the monotonic clock of the poller, plus the age
that the reply states; so it adds up along a chain of peers. Wall clocks are not used.

@example
```
const follower = createStateFollower({clock, links, controlSeeds: ['10.0.0.1:7200'], listPeerAddresses});
follower.isFresh();
```
*/
export function createStateFollower(options: StateFollowerOptions): StateFollower {
	const {
		clock, links, controlSeeds, listPeerAddresses, onChange = () => undefined, pollIntervalMs = 400, maxStalenessMs = 2500,
	} = options;
	let state = createPublicState();
	let recentChanges: readonly PublicChange[] = [];
	let confirmedAtMs = Number.NEGATIVE_INFINITY;
	let leaderAddress: string | undefined;
	let controlAddresses = controlSeeds;
	let rotationIndex = 0;
	let isStopped = false;

	const applyReply = (reply: StateReply, sentAtMs: number) => {
		const previousState = state;

		for (const change of (reply.changes ?? []) as readonly PublicChange[]) {
			const next = applyPublicChange(state, change);
			recentChanges = next === state ? recentChanges : [...recentChanges, change].slice(-maxRecentChanges);
			state = next;
		}

		// The version never decreases: a snapshot of an older state is ignored.
		if (reply.items !== undefined && reply.publicVersion > state.version) {
			state = {version: reply.publicVersion, items: new Map(reply.items)};
			recentChanges = [];
		}

		if (reply.ageMs !== undefined && reply.publicVersion <= state.version) {
			confirmedAtMs = Math.max(confirmedAtMs, sentAtMs - reply.ageMs);
		}

		leaderAddress = reply.leaderAddress ?? leaderAddress;
		controlAddresses = [...new Set([...reply.controlAddresses, ...controlSeeds])];

		if (state !== previousState) {
			onChange(state);
		}
	};

	const pollAddress = async (address: string): Promise<StateReply | undefined> => {
		const sentAtMs = clock.readMonotonicMs();
		const message: LinkMessage = {kind: LinkMessageKind.PollState, publicVersion: state.version};

		try {
			const reply = await callAndValidate(links, {address, message, timeoutMs: pollIntervalMs});

			if (reply.kind !== 'state') {
				return undefined;
			}

			applyReply(reply, sentAtMs);

			return reply;
		} catch {
			return undefined;
		}
	};

	// Polls the leader. If it does not confirm the state, polls one replica and one peer in rotation: a replica may name a new leader, which is polled
	// at once, and a peer may be fresh when no replica is. Returns whether a leader confirmed the state.
	const pollRound = async (): Promise<boolean> => {
		const polledLeader = leaderAddress;
		const leaderReply = polledLeader === undefined ? undefined : await pollAddress(polledLeader);

		if (leaderReply?.ageMs !== undefined) {
			return true;
		}

		rotationIndex++;
		const fallbackAddresses = [pickInRotation(controlAddresses, rotationIndex), pickInRotation(listPeerAddresses(), rotationIndex)];
		const replies = await Promise.all(fallbackAddresses.map(async address => address === undefined ? undefined : pollAddress(address)));

		if (leaderReply === undefined && replies.every(reply => reply?.leaderAddress === undefined)) {
			leaderAddress = undefined;
		}

		const newLeaderReply = leaderAddress === undefined || leaderAddress === polledLeader ? undefined : await pollAddress(leaderAddress);

		return newLeaderReply?.ageMs !== undefined;
	};

	const pollRepeatedly = async () => {
		const startedMs = clock.readMonotonicMs();
		const isConfirmed = await pollRound();
		const nextAtMs = startedMs + (isConfirmed ? pollIntervalMs : pollIntervalMs / leaderlessPollFactor);

		if (!isStopped) {
			setTimeout(pollRepeatedly, Math.max(minPollPauseMs, nextAtMs - clock.readMonotonicMs()));
		}
	};

	void pollRepeatedly();

	return {
		getState: () => state,
		isFresh: () => clock.readMonotonicMs() < confirmedAtMs + maxStalenessMs,
		getFreshnessDeadlineMs: () => confirmedAtMs + maxStalenessMs,
		getLeaderAddress: () => leaderAddress,
		listControlAddresses: () => controlAddresses,
		answerPoll(publicVersion) {
			const ageMs = clock.readMonotonicMs() - confirmedAtMs;

			return {
				kind: 'state',
				ageMs: ageMs < maxStalenessMs ? ageMs : undefined,
				...createPublicStateUpdate(state, recentChanges, publicVersion),
				leaderAddress,
				controlAddresses,
			};
		},
		stop() {
			isStopped = true;
		},
	};
}

function pickInRotation(addresses: readonly string[], rotationIndex: number): string | undefined {
	return addresses[rotationIndex % Math.max(1, addresses.length)];
}
