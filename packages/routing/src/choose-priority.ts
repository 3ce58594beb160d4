import {type InstanceLoad} from './instance-load.js';

export type PriorityQuestion = {
	/** Rank of the request; 0 goes first. */
	readonly priority: number;
	readonly load: InstanceLoad;
	/** Tokens that the request holds while it runs. */
	readonly heldTokens: number;
	/** Tokens that the engine holds at most. */
	readonly cacheTokens: number;
};

/** Rank of all requests at an engine that is nearly full. */
const commonPriority = 5;
/** What gateways tell each other of memory is late by some requests; from this share on an engine may be full already. */
const crowdedShare = 0.7;

/**
Chooses the rank that an engine is told. In memory that is nearly full a more urgent request does not go first but takes the memory of one
that runs, which is then read again: there all rank alike. Answers the load pattern of short urgent prompts among long ones at engines
that are full, where each short one costs a long one its reading.

@example
```
choosePriority({priority: 0, load, heldTokens: 2400, cacheTokens: 94_000}); //=> 0
```
*/
export function choosePriority({priority, load, heldTokens, cacheTokens}: PriorityQuestion): number {
	const held = load.ownHeldTokens + load.peers.heldTokens + heldTokens;

	return held > cacheTokens * crowdedShare ? commonPriority : priority;
}
