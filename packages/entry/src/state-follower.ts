import {type Clock} from '@fescuestair/core';
import {
	applyPublicChange, createPublicState, listPublicNews, type PublicChange, type PublicState,
} from '@fescuestair/state';
import {
	callChecked, LinkKind, type LinkMessage, type LinkReply,
} from '@fescuestair/protocol';
import {type Links} from '@fescuestair/transport';

export type StateFollowerOptions = {
	readonly clock: Clock;
	readonly links: Links;
	/** Link addresses of control replicas to begin with. */
	readonly controlSeeds: readonly string[];
	/** Link addresses of other entries, asked where no replica answers. */
	readonly listPeerAddresses: () => readonly string[];
	readonly onChanged?: (state: PublicState) => void;
	readonly pollMs?: number;
	/** How old an entry's knowledge of the preset in force may be while it serves. */
	readonly freshMs?: number;
};

/** Follows the public part of the state, and knows how fresh its knowledge is. */
export type StateFollower = {
	readonly getState: () => PublicState;
	readonly isFresh: () => boolean;
	/** When this entry will know too little of what is in force, unless it hears more: no leader has answered anyone since. */
	readonly getFreshDeadlineMs: () => number;
	readonly getLeaderAddress: () => string | undefined;
	readonly listControlAddresses: () => readonly string[];
	/** Answers another entry's poll. */
	readonly answerPoll: (publicVersion: number) => LinkReply;
	readonly stop: () => void;
};

type StateReply = Extract<LinkReply, {kind: 'state'}>;

const maxRecentChanges = 512;
const minPauseMs = 10;
/** Polls come this many times as often while no leader answers. */
const hurry = 4;

/**
Creates the follower of an entry. The age of knowledge is measured from when a poll was sent, by the asker's own
monotonic clock, and adds up along a chain of peers; wall clocks play no part.

@example
```
const follower = createStateFollower({clock, links, controlSeeds: ['10.0.0.1:7200'], listPeerAddresses});
follower.isFresh();
```
*/
export function createStateFollower(options: StateFollowerOptions): StateFollower {
	const {
		clock, links, controlSeeds, listPeerAddresses, onChanged = () => undefined, pollMs = 400, freshMs = 2500,
	} = options;
	let state = createPublicState();
	let recent: readonly PublicChange[] = [];
	let knownAtMs = Number.NEGATIVE_INFINITY;
	let leaderAddress: string | undefined;
	let controlAddresses = controlSeeds;
	let turn = 0;
	let isStopped = false;

	const takeReply = (reply: StateReply, sentAtMs: number) => {
		const before = state;

		for (const change of (reply.changes ?? []) as readonly PublicChange[]) {
			const next = applyPublicChange(state, change);
			recent = next === state ? recent : [...recent, change].slice(-maxRecentChanges);
			state = next;
		}

		// Never back: an older whole state is passed over.
		if (reply.items !== undefined && reply.publicVersion > state.version) {
			state = {version: reply.publicVersion, items: new Map(reply.items)};
			recent = [];
		}

		if (reply.ageMs !== undefined && reply.publicVersion <= state.version) {
			knownAtMs = Math.max(knownAtMs, sentAtMs - reply.ageMs);
		}

		leaderAddress = reply.leaderAddress ?? leaderAddress;
		controlAddresses = [...new Set([...reply.controlAddresses, ...controlSeeds])];

		if (state !== before) {
			onChanged(state);
		}
	};

	const pollOne = async (address: string): Promise<StateReply | undefined> => {
		const sentAtMs = clock.readMonotonicMs();
		const message: LinkMessage = {kind: LinkKind.PollState, publicVersion: state.version};

		try {
			const reply = await callChecked(links, {address, message, timeoutMs: pollMs});

			if (reply.kind !== 'state') {
				return undefined;
			}

			takeReply(reply, sentAtMs);

			return reply;
		} catch {
			return undefined;
		}
	};

	// The leader first; else a replica in turn for word of a leader, who is then asked at once; and a peer, which may be
	// fresh where no replica is. Tells whether the knowledge was renewed.
	const pollRound = async (): Promise<boolean> => {
		const asked = leaderAddress;
		const first = asked === undefined ? undefined : await pollOne(asked);

		if (first?.ageMs !== undefined) {
			return true;
		}

		turn++;
		const others = [pickTurn(controlAddresses, turn), pickTurn(listPeerAddresses(), turn)];
		const replies = await Promise.all(others.map(async address => address === undefined ? undefined : pollOne(address)));

		if (first === undefined && replies.every(reply => reply?.leaderAddress === undefined)) {
			leaderAddress = undefined;
		}

		const fresh = leaderAddress === undefined || leaderAddress === asked ? undefined : await pollOne(leaderAddress);

		return fresh?.ageMs !== undefined;
	};

	const run = async () => {
		const startedMs = clock.readMonotonicMs();
		const wasRenewed = await pollRound();
		const nextAtMs = startedMs + (wasRenewed ? pollMs : pollMs / hurry);

		if (!isStopped) {
			setTimeout(run, Math.max(minPauseMs, nextAtMs - clock.readMonotonicMs()));
		}
	};

	void run();

	return {
		getState: () => state,
		isFresh: () => clock.readMonotonicMs() < knownAtMs + freshMs,
		getFreshDeadlineMs: () => knownAtMs + freshMs,
		getLeaderAddress: () => leaderAddress,
		listControlAddresses: () => controlAddresses,
		answerPoll(publicVersion) {
			const ageMs = clock.readMonotonicMs() - knownAtMs;

			return {
				kind: 'state',
				ageMs: ageMs < freshMs ? ageMs : undefined,
				...listPublicNews(state, recent, publicVersion),
				leaderAddress,
				controlAddresses,
			};
		},
		stop() {
			isStopped = true;
		},
	};
}

function pickTurn(addresses: readonly string[], turn: number): string | undefined {
	return addresses[turn % Math.max(1, addresses.length)];
}
