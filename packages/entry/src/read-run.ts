import {type IncomingHttpHeaders} from 'node:http';
import {setImmediate} from 'node:timers';
import {type Agent} from 'undici';
import {type Clock} from '@fescuestair/core';
import {AttemptOutcome, type EngineLoad} from '@fescuestair/protocol';
import {AttemptError} from './attempt-error.js';
import {resume, type EngineCall} from './engine-client.js';
import {type EngineEvent, type EventSink} from './engine-events.js';

export type RunReadOptions = {
	readonly agent: Agent;
	readonly clock: Clock;
	readonly address: string;
	readonly requestId: string;
	readonly organisation: string;
	/** Ends the reading, and not the run. */
	readonly signal: AbortSignal;
	readonly sink: EventSink<EngineEvent>;
	/** Number of tokens that the answer has; all connections read on behind them. */
	readonly getOffset: () => number;
	/** Waits for a permit to read the run over another connection. */
	readonly reserveReading: () => Promise<boolean>;
	/** Called again and again while the run sends nothing, neither tokens nor heartbeats, for longer than it should need. */
	readonly onSilence: (silentMs: number) => void;
	/** Called again and again while the run is heard, and has brought no event for that time: its heartbeats alone do not end an answer. */
	readonly onStall: (stalledMs: number) => void;
	/** Called when the run is heard after a silence. */
	readonly onSilenceEnd: () => void;
	/** Called when the connection over which the run was begun is lost. */
	readonly onLost?: (error: AttemptError) => void;
	readonly onLoad?: (load: EngineLoad) => void;
	readonly onResponseHead?: (status: number, response: {readonly headers: IncomingHttpHeaders; readonly sentAtMs: number}) => void;
	/** Finds out from its headers why the response that begins the run can't be part of the answer. */
	readonly findHeadFault?: (headers: IncomingHttpHeaders) => string | undefined;
	/** How often the run is resumed after its last connection was lost. */
	readonly maxResumes: number;
};

/** Reads a run over one connection. */
export type Reading = (call: EngineCall, sink: EventSink<EngineEvent>) => Promise<void>;

/** A run that sends nothing for this long counts as silent, and is read over another connection as well, each time that this has passed. */
export const silenceTimeoutMs = 2500;
const silenceCheckIntervalMs = 200;
/** A connection is closed for a newer one only if there are so many besides that over which the run was begun. */
const maxFurtherReadings = 2;

/**
Reads a run at its engine to its end. A run goes on without its reader, so silence does not end it: it is read over further connections until it is heard again. The first
one with an event goes on alone, so that all of them stand at the same place. Rejects with an `AttemptError` once the run can't be read any more.

@example
```
await readRun(options, async (call, sink) => generate(call, input, sink));
```
*/
export async function readRun(options: RunReadOptions, begin: Reading): Promise<void> {
	const {agent, address, clock, signal, sink, getOffset, requestId, organisation} = options;
	const readings = new Set<AbortController>();
	let resumesLeft = options.maxResumes;
	let heardAtMs = clock.readMonotonicMs();
	/** When the latest event came, or the caller last went on reading. */
	let eventAtMs = heardAtMs;
	let readAgainAtMs = heardAtMs + silenceTimeoutMs;
	let pauses = 0;
	let isSilent = false;
	let isReserving = false;
	let isEnded = false;

	const hear = () => {
		heardAtMs = clock.readMonotonicMs();
		readAgainAtMs = heardAtMs + silenceTimeoutMs;

		if (isSilent) {
			isSilent = false;
			options.onSilenceEnd();
		}
	};

	const closeOthers = (kept?: AbortController) => {
		for (const reading of readings) {
			if (reading !== kept) {
				readings.delete(reading);
				reading.abort();
			}
		}
	};

	const createSink = (reading: AbortController): EventSink<EngineEvent> => ({
		write(event) {
			if (isEnded || !readings.has(reading)) {
				return true;
			}

			closeOthers(reading);
			eventAtMs = clock.readMonotonicMs();

			return sink.write(event);
		},
		// While the caller does not read, the run can't be heard.
		async waitForDrain() {
			pauses++;
			await sink.waitForDrain();
			pauses--;
			hear();
			eventAtMs = heardAtMs;
		},
	});

	let timer: NodeJS.Timeout | undefined;
	let stop: () => void = () => undefined;

	try {
		await new Promise<void>((resolve, reject) => {
			const fail = (error: Error) => {
				isEnded = true;
				reject(error);
			};

			const read = async (readOnce: Reading) => {
				const reading = new AbortController();
				const sentAtMs = clock.readMonotonicMs();
				readings.add(reading);

				try {
					await readOnce({
						agent,
						address,
						signal: reading.signal,
						onHeard: hear,
						...(options.onLoad !== undefined && {onLoad: options.onLoad}),
						...(options.findHeadFault !== undefined && readOnce === begin && {findHeadFault: options.findHeadFault}),
						onResponseHead(status, headers) {
							options.onResponseHead?.(status, {headers, sentAtMs});
						},
					}, createSink(reading));
					resolve();
				} catch (error) {
					// One that this reader closed itself says nothing of the run.
					if (readings.delete(reading)) {
						await endReading(error as Error, readOnce === begin);
					}
				}
			};

			const endReading = async (error: Error, isBegin: boolean) => {
				const isLost = error instanceof AttemptError && (error.end === AttemptOutcome.ConnectionLost || (!isBegin && endsReadingOnly.has(error.end)));

				if (isLost && isBegin) {
					options.onLost?.(error);
				}

				if (!isLost) {
					fail(error);
				} else if (readings.size === 0 && !isReserving && !isEnded) {
					await replaceReading(error);
				}
			};

			// The last connection has ended.
			const replaceReading = async (error: AttemptError) => {
				if (resumesLeft > 0 && error.end === AttemptOutcome.ConnectionLost) {
					resumesLeft--;
					await readAgain(error);
				} else {
					fail(error);
				}
			};

			const readAgain = async (lostWith?: AttemptError) => {
				isReserving = true;
				let isReserved = false;

				try {
					isReserved = await options.reserveReading();
				} catch (error) {
					fail(error as Error);
				} finally {
					isReserving = false;
				}

				if (isEnded) {
					return;
				}

				if (isReserved) {
					const [, ...further] = readings;

					if (further.length >= maxFurtherReadings) {
						readings.delete(further[0]!);
						further[0]!.abort();
					}

					await read(async (call, ownSink) => resume(call, {requestId, organisation, fromOffset: getOffset()}, ownSink));
				} else if (readings.size === 0) {
					fail(lostWith ?? new AttemptError(AttemptOutcome.ConnectionLost, 'the connection was lost and the run could not be read again'));
				}
			};

			const handleSilence = () => {
				const nowMs = clock.readMonotonicMs();

				if (isEnded || pauses > 0) {
					return;
				}

				if (nowMs - heardAtMs < silenceTimeoutMs) {
					if (nowMs - eventAtMs >= silenceTimeoutMs) {
						options.onStall(nowMs - eventAtMs);
					}

					return;
				}

				isSilent = true;
				options.onSilence(nowMs - heardAtMs);

				if (nowMs >= readAgainAtMs && !isReserving && !isEnded) {
					readAgainAtMs = nowMs + silenceTimeoutMs;
					void readAgain();
				}
			};

			const checkSilence = () => {
				try {
					handleSilence();
				} catch (error) {
					fail(error as Error);
				}
			};

			stop = () => {
				fail(new AttemptError(AttemptOutcome.Cancelled, 'cancelled'));
			};

			signal.addEventListener('abort', stop);
			// What has arrived is read before it is judged.
			timer = setInterval(() => setImmediate(checkSilence), silenceCheckIntervalMs);
			void read(begin);

			if (signal.aborted) {
				stop();
			}
		});
	} finally {
		isEnded = true;
		clearInterval(timer);
		signal.removeEventListener('abort', stop);
		closeOthers();
	}
}

/** Ends of a connection that resumes a run: another one that is open may still hear it. */
const endsReadingOnly = new Set([AttemptOutcome.NotSent, AttemptOutcome.Refused]);
