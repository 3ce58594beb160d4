import {pickByRendezvous} from '@fescuestair/core';
import {
	chooseInstance, estimatePlacement, type InstanceOption, type Placement, type PlacementInput,
} from './choose-instance.js';
import {estimateOtherRequests} from './instance-load.js';

/** Placement policies; all but the first are baselines for measurements. */
export enum PlacementPolicy {
	/** Least expected cost in ms; see `chooseInstance`. */
	LeastCost = 'least_cost',
	RoundRobin = 'round_robin',
	/** Fewest requests per slot. */
	LeastLoad = 'least_load',
	/** The same instance for the same shared part; least load for prompts without one. */
	PrefixAffinity = 'prefix_affinity',
}

/** Chooses an instance; returns `undefined` if there are no options. */
export type ChooseInstance = (input: PlacementInput) => Placement | undefined;

/**
Creates the function that chooses instances by a policy.

@example
```
const choose = createChooser(PlacementPolicy.RoundRobin);
choose(input)?.id;
```
*/
export function createChooser(policy: PlacementPolicy): ChooseInstance {
	switch (policy) {
		case PlacementPolicy.LeastCost: {
			return chooseInstance;
		}

		case PlacementPolicy.RoundRobin: {
			return createRoundRobin();
		}

		case PlacementPolicy.LeastLoad: {
			return chooseLeastLoaded;
		}

		case PlacementPolicy.PrefixAffinity: {
			return chooseByPrefix;
		}
	}
}

function createRoundRobin(): ChooseInstance {
	let nextIndex = 0;

	return input => {
		const sorted = input.options.toSorted((a, b) => a.id < b.id ? -1 : 1);
		const option = sorted[nextIndex++ % Math.max(1, sorted.length)];

		return option && estimatePlacement(input, option);
	};
}

function chooseLeastLoaded(input: PlacementInput): Placement | undefined {
	const computeLoadPerSlot = ({load, slots}: InstanceOption) => (load.own + estimateOtherRequests(load, input.nowMs)) / slots;
	const [option] = input.options.toSorted((a, b) => computeLoadPerSlot(a) - computeLoadPerSlot(b));

	return option && estimatePlacement(input, option);
}

function chooseByPrefix(input: PlacementInput): Placement | undefined {
	const key = input.prompt?.affinityKey;

	if (key === undefined) {
		return chooseLeastLoaded(input);
	}

	const id = pickByRendezvous(key, input.options.map(option => option.id));
	const option = input.options.find(one => one.id === id);

	return option && estimatePlacement(input, option);
}
