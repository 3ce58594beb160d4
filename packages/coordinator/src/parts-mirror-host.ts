import {type Clock} from '@fescuestair/core';
import {
	answerFromMirror, createPartsMirror, isEncodedPartsReply, encodePartsReply, applyMirrorReply, decodePartsReply, type PartsPoll,
} from '@fescuestair/parts';
import {
	callAndValidate, LinkMessageKind, requireValid, type LinkCaller, type LinkReply,
} from '@fescuestair/protocol';
import {type Logger} from '@fescuestair/runtime';

export type PartsMirrorHostOptions = {
	readonly clock: Clock;
	readonly log: Logger;
	readonly links: LinkCaller;
	/** Link address of the leader, which holds the index of stored parts; `undefined` if this replica leads or no leader is known. */
	readonly findLeaderAddress: () => string | undefined;
	/** Whether any gateway polls this coordinator. */
	readonly isPolled: () => boolean;
};

/** Answers gateways' polls for stored parts from a copy of the leader's index. */
export type PartsMirrorHost = {
	/** Answers a gateway's poll; `undefined` if no copy has been received yet. */
	readonly answer: (poll: PartsPoll) => LinkReply | undefined;
	readonly stop: () => void;
};

const pollIntervalMs = 200;
const callTimeoutMs = 700;
/** Part uses that are buffered while the leader does not answer; further ones are discarded. */
const maxPendingUses = 50_000;

/**
Creates the mirror of a coordinator. It keeps the load on the leader independent of the number of gateways: only the other coordinators poll
the leader, and the gateways poll them.

@example
```
const mirror = createPartsMirrorHost({clock, log, links, findLeaderAddress, isPolled});
const reply = mirror.answer(poll);
```
*/
export function createPartsMirrorHost({clock, log, links, findLeaderAddress, isPolled}: PartsMirrorHostOptions): PartsMirrorHost {
	let mirror = createPartsMirror();
	let pendingUses = new Set<string>();
	let isPolling = false;
	let isLeaderUnresponsive = false;

	const pollLeader = async () => {
		const address = findLeaderAddress();

		if (isPolling || address === undefined || !isPolled()) {
			return;
		}

		isPolling = true;
		const askedAtMs = clock.readMonotonicMs();
		const reportedUses = pendingUses;
		pendingUses = new Set();

		try {
			const {epoch, revision} = mirror.view;
			const request: PartsPoll = {epoch, revision, used: [...reportedUses]};
			const answer = await callAndValidate(links, {address, message: {kind: LinkMessageKind.PollParts, poll: request}, timeoutMs: callTimeoutMs});

			if (answer.kind === 'parts') {
				mirror = applyMirrorReply(mirror, decodePartsReply(requireValid(answer.reply, isEncodedPartsReply, address)), askedAtMs - answer.ageMs);
			}

			isLeaderUnresponsive = false;
		} catch (error) {
			pendingUses = new Set([...reportedUses, ...pendingUses]);

			if (!isLeaderUnresponsive) {
				isLeaderUnresponsive = true;
				log.warn('the keeper of stored parts does not answer', {address, reason: String(error)});
			}
		}

		isPolling = false;
	};

	const timer = setInterval(() => {
		void pollLeader();
	}, pollIntervalMs);

	return {
		answer(poll) {
			for (const key of poll.used) {
				if (pendingUses.size < maxPendingUses) {
					pendingUses.add(key);
				}
			}

			const answered = answerFromMirror(mirror, poll, clock.readMonotonicMs());

			return answered === undefined ? undefined : {kind: 'parts', reply: encodePartsReply(answered.reply), ageMs: answered.ageMs};
		},
		stop() {
			clearInterval(timer);
		},
	};
}
