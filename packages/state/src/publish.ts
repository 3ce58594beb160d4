import {applyPublicChange, type PublicChange} from './public-state.js';
import {type ReplicatedState} from './types.js';

const maxRecentChanges = 512;

/** Makes the next public version. */
export function publish(state: ReplicatedState, change: Omit<PublicChange, 'version'>): ReplicatedState {
	const numbered = {...change, version: state.publicState.version + 1};

	return {
		...state,
		publicState: applyPublicChange(state.publicState, numbered),
		recentChanges: [...state.recentChanges, numbered].slice(-maxRecentChanges),
	};
}
