/** How often an idle link says that it lives. */
export const heartbeatMs = 500;
/** A link that has said nothing for this long is closed and opened anew. */
export const silenceMs = 2000;
/** One-way messages are dropped while this much waits to be sent. */
export const maxBacklogBytes = 16_000_000;
/** Ciphers by pre-shared key with forward secrecy. */
export const linkCiphers = 'ECDHE-PSK-CHACHA20-POLY1305';
