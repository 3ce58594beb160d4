/** Spans in which a server that is sound sends nothing: it keeps its connections and goes on with its work. */
export type Silence = {
	readonly isSilent: () => boolean;
	/** Resolves at once outside of a span. */
	readonly waitForEnd: () => Promise<void>;
	/** Calls a listener at the end of each span; the returned function removes it. */
	readonly watchEnd: (listener: () => void) => () => void;
	/** Begins a span, or sets another end for the current one. */
	readonly start: (forMs: number) => void;
};

/**
Creates the silence of one server.

@example
```
const silence = createSilence();
silence.start(3500);
await silence.waitForEnd();
```
*/
export function createSilence(): Silence {
	const listeners = new Set<() => void>();
	let timer: NodeJS.Timeout | undefined;

	const watchEnd = (listener: () => void) => {
		listeners.add(listener);

		return () => {
			listeners.delete(listener);
		};
	};

	return {
		isSilent: () => timer !== undefined,
		async waitForEnd() {
			if (timer === undefined) {
				return;
			}

			await new Promise<void>(resolve => {
				const forget = watchEnd(() => {
					forget();
					resolve();
				});
			});
		},
		watchEnd,
		start(forMs) {
			clearTimeout(timer);
			timer = setTimeout(() => {
				timer = undefined;

				for (const listener of listeners) {
					listener();
				}
			}, forMs);
		},
	};
}

/** The path of the request that begins a span of silence. */
export const silencePath = '/v1/silence';

/** Reads for how long a request asks its server to be silent. */
export function parseSilence(url: string | undefined): number | undefined {
	const {pathname, searchParams} = new URL(url ?? '/', 'http://standin');

	return pathname === silencePath ? Number(searchParams.get('forMs')) : undefined;
}
