import {createId} from '@fescuestair/core';
import {CommandResponseKind, type CommandResponse, type ConfigItem} from '@fescuestair/state';
import {callControl, type ClientOptions} from './client.js';

export type ConfigChange = {
	readonly upserts: ReadonlyArray<readonly [string, ConfigItem]>;
	readonly removals: readonly string[];
	readonly presetInForce?: string;
	readonly summary: string;
	readonly expectedVersion: number;
};

const maxAttempts = 5;

/**
Sends a change, with retries under the same change id, so that a change whose answer was lost is not applied twice.

@example
```
const answer = await sendChange(options, {expectedVersion: 3, presetInForce: 'peak', upserts: [], removals: [], summary: 'use peak'});
```
*/
export async function sendChange(options: ClientOptions, change: ConfigChange): Promise<CommandResponse> {
	const changeId = createId('c', Date.now());
	let lastError: unknown;

	for (let attempt = 0; attempt < maxAttempts; attempt++) {
		try {
			return await callControl(options, async client => client.change.mutate({
				...change, changeId, upserts: change.upserts.map(([key, item]) => [key, item]), removals: [...change.removals],
			}) as Promise<CommandResponse>);
		} catch (error) {
			lastError = error;
			await new Promise(resolve => {
				setTimeout(resolve, 300);
			});
		}
	}

	throw lastError;
}

/** Formats the answer to a change for the operator. */
export function describeAnswer(answer: CommandResponse): string {
	switch (answer.kind) {
		case CommandResponseKind.Accepted: {
			return `accepted as configuration version ${answer.version}`;
		}

		case CommandResponseKind.VersionConflict: {
			const lastChange = answer.last === undefined ? '' : `; last change, by ${answer.last.actor}: ${answer.last.summary}, at ${new Date(answer.last.wallMs).toISOString()}`;

			return `not applied, since another change came first; the configuration version is now ${answer.version}${lastChange}`;
		}

		case CommandResponseKind.Invalid: {
			return `refused: ${answer.reason}`;
		}

		default: {
			return `refused: ${answer.kind}`;
		}
	}
}
