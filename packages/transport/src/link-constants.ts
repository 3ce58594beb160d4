/** Period of the timer that checks all links of a process; a link whose last message has been unanswered for this long sends a heartbeat. */
export const heartbeatIntervalMs = 500;
/** A link that has received no answer for this long is closed; the next message opens a new one. */
export const livenessTimeoutMs = 2000;
/** One-way messages are dropped while this many bytes wait to be sent. */
export const maxSendBacklogBytes = 16_000_000;
/** TLS cipher suite with a pre-shared key and forward secrecy. */
export const linkCiphers = 'ECDHE-PSK-CHACHA20-POLY1305';
/** A link that is unused for this long is closed by the side that opened it; the accepting side waits twice as long. */
export const idleTimeoutMs = 20_000;
/** Largest frame: a snapshot of the replicated state or a batch of log entries, plus a configuration of the largest size. */
export const defaultMaxFrameBytes = 64_000_000;
/** Limit on the bytes of incomplete frames that all links of one listener hold together. */
export const maxIncompleteFrameBytes = 96_000_000;
/** Time for a frame to arrive completely: enough for the largest one at 50 Mbit/s, and for an ordinary one on any network. */
export const frameTimeoutMs = 12_000;
