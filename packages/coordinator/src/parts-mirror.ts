import {type Clock} from '@fescuestair/core';
import {
	answerFromMirror, createPartsMirror, isEncodedPartsReply, encodePartsReply, takeMirrorReply, decodePartsReply, type PartsPoll,
} from '@fescuestair/parts';
import {
	callChecked, LinkKind, requireChecked, type LinkCaller, type LinkReply,
} from '@fescuestair/protocol';
import {type Log} from '@fescuestair/runtime';

export type PartsMirrorOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly links: LinkCaller;
	/** Link address of the replica that keeps the parts; `undefined` where it is this one, or none is known. */
	readonly findKeeperAddress: () => string | undefined;
	/** Whether gateways poll here. */
	readonly isNeeded: () => boolean;
};

/** The task of a coordinator that answers its gateways in the keeper's place. */
export type PartsMirrorHost = {
	/** Answers a gateway; `undefined` where nothing is known yet. */
	readonly answer: (poll: PartsPoll) => LinkReply | undefined;
	readonly stop: () => void;
};

const pollMs = 200;
const callTimeoutMs = 700;
/** Notes of use that wait while no keeper answers. */
const maxUses = 50_000;

/**
Creates the mirror of a coordinator. Answers the load pattern of many gateways before one keeper: the keeper is asked by as many daemons as
there are coordinators.

@example
```
const mirror = createPartsMirrorHost({clock, log, links, findKeeperAddress, isNeeded});
const reply = mirror.answer(poll);
```
*/
export function createPartsMirrorHost({clock, log, links, findKeeperAddress, isNeeded}: PartsMirrorOptions): PartsMirrorHost {
	let mirror = createPartsMirror();
	let used = new Set<string>();
	let isPolling = false;
	let isLost = false;

	const poll = async () => {
		const address = findKeeperAddress();

		if (isPolling || address === undefined || !isNeeded()) {
			return;
		}

		isPolling = true;
		const askedAtMs = clock.readMonotonicMs();
		const told = used;
		used = new Set();

		try {
			const {epoch, revision} = mirror.view;
			const question: PartsPoll = {epoch, revision, used: [...told]};
			const answer = await callChecked(links, {address, message: {kind: LinkKind.PollParts, poll: question}, timeoutMs: callTimeoutMs});

			if (answer.kind === 'parts') {
				mirror = takeMirrorReply(mirror, decodePartsReply(requireChecked(answer.reply, isEncodedPartsReply, address)), askedAtMs - answer.ageMs);
			}

			isLost = false;
		} catch (error) {
			used = new Set([...told, ...used]);

			if (!isLost) {
				isLost = true;
				log.warn('the keeper of stored parts does not answer', {address, reason: String(error)});
			}
		}

		isPolling = false;
	};

	const timer = setInterval(() => {
		void poll();
	}, pollMs);

	return {
		answer(question) {
			for (const key of question.used) {
				if (used.size < maxUses) {
					used.add(key);
				}
			}

			const answered = answerFromMirror(mirror, question, clock.readMonotonicMs());

			return answered === undefined ? undefined : {kind: 'parts', reply: encodePartsReply(answered.reply), ageMs: answered.ageMs};
		},
		stop() {
			clearInterval(timer);
		},
	};
}
