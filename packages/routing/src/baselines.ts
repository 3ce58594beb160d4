import {pickByRendezvous} from '@fescuestair/core';
import {
	chooseInstance, describePlacement, type InstanceOption, type Placement, type PlacementQuestion,
} from './choose-instance.js';
import {estimateOthers} from './instance-load.js';

/** Ways to place requests; all but the first are kept to measure it against. */
export enum PlacementPolicy {
	/** By the expected cost in time; see `chooseInstance`. */
	LeastCost = 'least_cost',
	RoundRobin = 'round_robin',
	/** Where the fewest requests are for each place. */
	LeastLoad = 'least_load',
	/** Always the same instance for the same shared part; the least load where there is none. */
	PrefixAffinity = 'prefix_affinity',
}

/** Chooses an instance; `undefined` where there is none to choose from. */
export type ChooseInstance = (question: PlacementQuestion) => Placement | undefined;

/**
Creates the chooser of a policy.

@example
```
const choose = createChooser(PlacementPolicy.RoundRobin);
choose(question)?.id;
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
	let turn = 0;

	return question => {
		const sorted = question.options.toSorted((a, b) => a.id < b.id ? -1 : 1);
		const option = sorted[turn++ % Math.max(1, sorted.length)];

		return option && describePlacement(question, option);
	};
}

function chooseLeastLoaded(question: PlacementQuestion): Placement | undefined {
	const computeShare = ({load, slots}: InstanceOption) => (load.own + estimateOthers(load, question.nowMs)) / slots;
	const [option] = question.options.toSorted((a, b) => computeShare(a) - computeShare(b));

	return option && describePlacement(question, option);
}

function chooseByPrefix(question: PlacementQuestion): Placement | undefined {
	const key = question.prompt?.affinityKey;

	if (key === undefined) {
		return chooseLeastLoaded(question);
	}

	const id = pickByRendezvous(key, question.options.map(option => option.id));
	const option = question.options.find(one => one.id === id);

	return option && describePlacement(question, option);
}
