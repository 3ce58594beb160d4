/**
Calls a function repeatedly; returns a function that ends it.

@example
```
const stop = startInterval(checkInFlight, 100);
stop();
```
*/
export function startInterval(callback: () => void, intervalMs: number): () => void {
	const timer = setInterval(callback, intervalMs);

	return () => {
		clearInterval(timer);
	};
}
