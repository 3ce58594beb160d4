import {applyPublicChange, type PublicChange} from './public-state.js';
import {type ReplicatedState} from './types.js';

const maxRecentChanges = 512;

/** Applies a change to the public state as its next version, and appends it to the recent changes. */
export function publishChange(state: ReplicatedState, change: Omit<PublicChange, 'version'>): ReplicatedState {
	const versionedChange = {...change, version: state.publicState.version + 1};

	return {
		...state,
		publicState: applyPublicChange(state.publicState, versionedChange),
		recentChanges: [...state.recentChanges, versionedChange].slice(-maxRecentChanges),
	};
}
