import {type Clock} from '@fescuestair/core';
import {
	createPartsView, deriveKey, isEncodedPartsReply, takePartsReply, decodePartsReply, type PartPlace, type PartsPoll, type PartsView,
} from '@fescuestair/parts';
import {callChecked, LinkKind, requireChecked} from '@fescuestair/protocol';
import {type Log} from '@fescuestair/runtime';
import {type Links} from '@fescuestair/transport';

export type PartsClientOptions = {
	/** Link address of the coordinator that answers for the keeper of parts. */
	readonly getHome: () => string | undefined;
	readonly links: Pick<Links, 'call'>;
	readonly clock: Clock;
	readonly log: Log;
};

/** Keeps up with the keeper of stored parts. */
export type PartsClient = {
	readonly getView: () => PartsView;
	/** Asks at once, without waiting for the home before: it may be silent. */
	readonly followHome: (address: string | undefined) => void;
	/** Notes that a request asked for a part; the least recently used go first. */
	readonly noteUse: (part: {readonly salt: string; readonly id: string}) => void;
	/** Notes that a part is on its way to a store. */
	readonly noteSave: (part: PartPlace) => void;
	/** Tokens of parts that this gateway sent to a store and that are not known to be there yet. */
	readonly countPendingTokens: (storeAddress: string) => number;
	/** Whether a part was sent to a store lately and may be there soon. */
	readonly isBeingSaved: (part: {readonly salt: string; readonly id: string}) => boolean;
	readonly stop: () => void;
};

/** Fetches count by a view that is younger than a second; a poll or two may be lost. */
const pollMs = 300;
const callTimeoutMs = 700;
/** A part that is not known to be in its store by then is sent again: it waits for its prompt to be read, and for the link. */
const saveMs = 2500;
/** Notes of use that wait while no keeper answers. */
const maxUses = 5000;

/** Creates the client of the keeper of stored parts. */
export function createPartsClient({getHome, links, clock, log}: PartsClientOptions): PartsClient {
	let view = createPartsView();
	let used = new Set<string>();
	const saves = new Map<string, {readonly deadlineMs: number; readonly place: PartPlace}>();
	/** The poll that is awaited; one of a home before counts for nothing. */
	let awaited: {readonly address: string} | undefined;
	let isLost = false;

	const poll = async (address: string | undefined) => {
		if (address === undefined || awaited?.address === address) {
			return;
		}

		const one = {address};
		awaited = one;
		const askedAtMs = clock.readMonotonicMs();
		const question: PartsPoll = {epoch: view.epoch, revision: view.revision, used: [...used]};

		try {
			const answer = await callChecked(links, {address, message: {kind: LinkKind.PollParts, poll: question}, timeoutMs: callTimeoutMs});

			if (awaited !== one) {
				return;
			}

			if (answer.kind === 'parts') {
				view = takePartsReply(view, decodePartsReply(requireChecked(answer.reply, isEncodedPartsReply, address)), askedAtMs - answer.ageMs);
				used = new Set();
			}

			isLost = false;
		} catch (error) {
			if (!isLost) {
				isLost = true;
				log.warn('the keeper of stored parts does not answer', {address, reason: String(error)});
			}
		}

		if (awaited === one) {
			awaited = undefined;
		}
	};

	const tidySaves = () => {
		const nowMs = clock.readMonotonicMs();

		for (const [key, {deadlineMs}] of saves) {
			if (nowMs >= deadlineMs || view.places.has(key)) {
				saves.delete(key);
			}
		}
	};

	const timer = setInterval(() => {
		tidySaves();
		void poll(getHome());
	}, pollMs);

	return {
		getView: () => view,
		followHome(address) {
			void poll(address);
		},
		noteUse(part) {
			if (used.size < maxUses) {
				used.add(deriveKey(part));
			}
		},
		noteSave(part) {
			saves.set(deriveKey(part), {deadlineMs: clock.readMonotonicMs() + saveMs, place: part});
		},
		countPendingTokens(storeAddress) {
			let pending = 0;

			for (const {place} of saves.values()) {
				pending += place.storeAddress === storeAddress ? place.tokens : 0;
			}

			return pending;
		},
		isBeingSaved: part => saves.has(deriveKey(part)),
		stop() {
			clearInterval(timer);
		},
	};
}
