/** Node's timers hold no more than 2^31 - 1 ms, and fire at once for more. */
export const maxTimerMs = 2_000_000_000;
