import {type Clock} from '@fescuestair/core';
import {
	createPartsView, deriveKey, isEncodedPartsReply, applyPartsReply, decodePartsReply, type PartLocation, type PartsPoll, type PartsView,
} from '@fescuestair/parts';
import {callAndValidate, LinkMessageKind, requireValid} from '@fescuestair/protocol';
import {type Logger} from '@fescuestair/runtime';
import {type Links} from '@fescuestair/transport';

export type PartsClientOptions = {
	/** Link address of the primary home, which answers from the leader's parts index or from its mirror of it. */
	readonly getHome: () => string | undefined;
	readonly links: Pick<Links, 'call'>;
	readonly clock: Clock;
	readonly log: Logger;
};

/** Polls the index of stored parts, and reports to it which parts are used. */
export type PartsClient = {
	readonly getView: () => PartsView;
	/** Polls a new home at once, without waiting for the reply of the previous one, which may not answer. */
	readonly pollHome: (address: string | undefined) => void;
	/** Records that a request used a part: the leader's parts index evicts the least recently used parts first. */
	readonly recordUse: (part: {readonly salt: string; readonly id: string}) => void;
	/** Records that a part is being sent to a store. */
	readonly recordSave: (part: PartLocation) => void;
	/** Counts the tokens of parts that this gateway sent to a store and that the index does not list yet. */
	readonly countPendingTokens: (storeAddress: string) => number;
	/** Whether a part was sent to a store recently and is not confirmed yet. */
	readonly isBeingSaved: (part: {readonly salt: string; readonly id: string}) => boolean;
	readonly stop: () => void;
};

/** Fetches rely on a view that is less than a second old, so one or two lost polls are tolerated. */
const pollIntervalMs = 300;
const callTimeoutMs = 700;
/** A part that is not listed in its store by then may be sent again. The time covers the prefill of its prompt and the transfer over the link. */
const saveTimeoutMs = 2500;
/** Bound on the uses that are kept while the parts index cannot be reached. */
const maxPendingUses = 5000;

/** Creates the client of the index of stored parts. */
export function createPartsClient({getHome, links, clock, log}: PartsClientOptions): PartsClient {
	let view = createPartsView();
	let usedKeys = new Set<string>();
	const pendingSaves = new Map<string, {readonly deadlineMs: number; readonly place: PartLocation}>();
	/** The poll whose reply is awaited; a reply to any other poll is discarded. */
	let pendingPoll: {readonly address: string} | undefined;
	let isUnavailable = false;

	const poll = async (address: string | undefined) => {
		if (address === undefined || pendingPoll?.address === address) {
			return;
		}

		const ownPoll = {address};
		pendingPoll = ownPoll;
		const askedAtMs = clock.readMonotonicMs();
		const request: PartsPoll = {epoch: view.epoch, revision: view.revision, used: [...usedKeys]};

		try {
			const answer = await callAndValidate(links, {address, message: {kind: LinkMessageKind.PollParts, poll: request}, timeoutMs: callTimeoutMs});

			if (pendingPoll !== ownPoll) {
				return;
			}

			if (answer.kind === 'parts') {
				view = applyPartsReply(view, decodePartsReply(requireValid(answer.reply, isEncodedPartsReply, address)), askedAtMs - answer.ageMs);
				usedKeys = new Set();
			}

			isUnavailable = false;
		} catch (error) {
			if (!isUnavailable) {
				isUnavailable = true;
				log.warn('the keeper of stored parts does not answer', {address, reason: String(error)});
			}
		}

		if (pendingPoll === ownPoll) {
			pendingPoll = undefined;
		}
	};

	const tidySaves = () => {
		const nowMs = clock.readMonotonicMs();

		for (const [key, {deadlineMs}] of pendingSaves) {
			if (nowMs >= deadlineMs || view.locations.has(key)) {
				pendingSaves.delete(key);
			}
		}
	};

	const timer = setInterval(() => {
		tidySaves();
		void poll(getHome());
	}, pollIntervalMs);

	return {
		getView: () => view,
		pollHome(address) {
			void poll(address);
		},
		recordUse(part) {
			if (usedKeys.size < maxPendingUses) {
				usedKeys.add(deriveKey(part));
			}
		},
		recordSave(part) {
			pendingSaves.set(deriveKey(part), {deadlineMs: clock.readMonotonicMs() + saveTimeoutMs, place: part});
		},
		countPendingTokens(storeAddress) {
			let pendingTokens = 0;

			for (const {place} of pendingSaves.values()) {
				pendingTokens += place.storeAddress === storeAddress ? place.tokens : 0;
			}

			return pendingTokens;
		},
		isBeingSaved: part => pendingSaves.has(deriveKey(part)),
		stop() {
			clearInterval(timer);
		},
	};
}
