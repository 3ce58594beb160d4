import {computeHash} from '@fescuestair/core';
import {type Timing} from './types.js';

type ElectionInput = {
	readonly id: string;
	readonly term: number;
	readonly timing: Timing;
	readonly nowMs: number;
};

const jitterSteps = 1000;

/** Computes when to ask for votes; the jitter follows from the id and the term, so that a run can be repeated. */
export function computeElectionDeadline({id, term, timing, nowMs}: ElectionInput): number {
	const jitter = Number(computeHash(`${id}/${term}/${Math.floor(nowMs)}`) % BigInt(jitterSteps)) / jitterSteps;

	return nowMs + (timing.electionMs * (1 + jitter));
}
