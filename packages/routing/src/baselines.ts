import {computeHash} from '@fescuestair/core';
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
	return pickBest(question, ({load, slots}) => -(load.own + estimateOthers(load, question.nowMs)) / slots);
}

function chooseByPrefix(question: PlacementQuestion): Placement | undefined {
	const key = question.prompt?.affinityKey;

	return key === undefined ? chooseLeastLoaded(question) : pickBest(question, ({id}) => Number(computeHash(`${key}/${id}`)));
}

function pickBest(question: PlacementQuestion, rate: (option: InstanceOption) => number): Placement | undefined {
	let best: {readonly option: InstanceOption; readonly rating: number} | undefined;

	for (const option of question.options) {
		const rating = rate(option);

		if (best === undefined || rating > best.rating) {
			best = {option, rating};
		}
	}

	return best && describePlacement(question, best.option);
}
