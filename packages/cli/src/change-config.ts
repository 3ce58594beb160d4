import {createId} from '@fescuestair/core';
import {AnswerKind, type Answer, type ConfigItem} from '@fescuestair/state';
import {callControl, type ClientOptions} from './client.js';

export type ConfigChange = {
	readonly upserts: ReadonlyArray<readonly [string, ConfigItem]>;
	readonly removals: readonly string[];
	readonly presetInForce?: string;
	readonly summary: string;
	readonly expectedVersion: number;
};

const tries = 5;

/**
Sends a change under one change id until it is answered, so that a lost answer changes nothing twice.

@example
```
const answer = await sendChange(options, {expectedVersion: 3, presetInForce: 'peak', upserts: [], removals: [], summary: 'use peak'});
```
*/
export async function sendChange(options: ClientOptions, change: ConfigChange): Promise<Answer> {
	const changeId = createId('c', Date.now());
	let lastError: unknown;

	for (let turn = 0; turn < tries; turn++) {
		try {
			return await callControl(options, async client => client.change.mutate({
				...change, changeId, upserts: change.upserts.map(([key, item]) => [key, item]), removals: [...change.removals],
			}) as Promise<Answer>);
		} catch (error) {
			lastError = error;
			await new Promise(resolve => {
				setTimeout(resolve, 300);
			});
		}
	}

	throw lastError;
}

/** Describes the answer to a change for the operator who sent it. */
export function describeAnswer(answer: Answer): string {
	switch (answer.kind) {
		case AnswerKind.Accepted: {
			return `accepted as version ${answer.version}`;
		}

		case AnswerKind.VersionConflict: {
			const by = answer.last === undefined ? '' : `: ${answer.last.actor} made ${answer.last.summary} at ${new Date(answer.last.wallMs).toISOString()}`;

			return `another change came first; the version is ${answer.version} now${by}`;
		}

		case AnswerKind.Invalid: {
			return `refused: ${answer.reason}`;
		}

		default: {
			return `refused: ${answer.kind}`;
		}
	}
}
