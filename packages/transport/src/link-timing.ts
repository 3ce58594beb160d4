/** How often a link whose last message is unanswered asks for a sign of life. */
export const heartbeatMs = 500;
/** A link that has answered nothing for this long is closed and opened anew. */
export const silenceMs = 2000;
/** One-way messages are dropped while this much waits to be sent. */
export const maxBacklogBytes = 16_000_000;
/** Ciphers by pre-shared key with forward secrecy. */
export const linkCiphers = 'ECDHE-PSK-CHACHA20-POLY1305';
/** A link that nobody uses is closed after this. */
export const idleMs = 20_000;
