import {computeHash} from '@fescuestair/core';
import {type ReplicaTiming} from './types.js';

type ElectionDeadlineInput = {
	readonly id: string;
	readonly term: number;
	readonly timing: ReplicaTiming;
	readonly nowMs: number;
};

const jitterSteps = 1000;

/**
Computes when to start an election. The jitter is derived from the id, the term and the time instead of a random number, so that a test
run can be reproduced.
*/
export function computeElectionDeadline({id, term, timing, nowMs}: ElectionDeadlineInput): number {
	const jitter = Number(computeHash(`${id}/${term}/${Math.floor(nowMs)}`) % BigInt(jitterSteps)) / jitterSteps;

	return nowMs + (timing.electionTimeoutMs * (1 + jitter));
}
