/** LRU estimate of the prompt parts in an instance's cache. Mutable, since it is one daemon's own estimate. */
export type CachedParts = {
	/** Counts the tokens of the longest cached prefix of a prompt. */
	readonly countCachedTokens: (parts: readonly PromptPart[]) => number;
	readonly add: (parts: readonly PromptPart[]) => void;
};

export type PromptPart = {readonly id: string; readonly tokens: number};

/**
Creates the estimate for one instance; it assumes that parts beyond the instance's capacity are evicted least recently used first.

@example
```
const cached = createCachedParts(77_104);
cached.add([{id: 'work', tokens: 12_800}]);
cached.countCachedTokens([{id: 'work', tokens: 12_800}, {id: 'question', tokens: 80}]); //=> 12800
```
*/
export function createCachedParts(capacityTokens: number): CachedParts {
	const held = new Map<string, number>();
	let total = 0;

	return {
		countCachedTokens(parts) {
			let tokens = 0;

			for (const part of parts) {
				if (!held.has(part.id)) {
					break;
				}

				tokens += part.tokens;
			}

			return tokens;
		},
		add(parts) {
			for (const {id, tokens} of parts) {
				total += tokens - (held.get(id) ?? 0);
				held.delete(id);
				held.set(id, tokens);
			}

			for (const [id, tokens] of held) {
				if (total <= capacityTokens) {
					break;
				}

				held.delete(id);
				total -= tokens;
			}
		},
	};
}
