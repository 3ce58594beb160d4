/** How often a link whose last message is unanswered asks for a sign of life; one timer of this period serves all links of a process. */
export const heartbeatMs = 500;
/** A link that has answered nothing for this long is closed and opened anew. */
export const silenceMs = 2000;
/** One-way messages are dropped while this much waits to be sent. */
export const maxBacklogBytes = 16_000_000;
/** Ciphers by pre-shared key with forward secrecy. */
export const linkCiphers = 'ECDHE-PSK-CHACHA20-POLY1305';
/** A link that nobody uses is closed after this. */
export const idleMs = 20_000;
/** Largest frame: a snapshot of the replicated state, or a batch of log entries, beside a configuration of the largest size. */
export const maxFrameBytes = 64_000_000;
/** Bytes of frames that have not come whole yet, at all links of one listener together. */
export const maxIncompleteBytes = 96_000_000;
/** A frame that has begun must be whole by then: the largest over a link of 50 Mbit/s, and a usual one over any. */
export const frameTimeoutMs = 12_000;
