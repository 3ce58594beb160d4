import {type IncomingHttpHeaders} from 'node:http';
import {type PromptPart} from '@fescuestair/routing';

/** A prompt as its caller describes it. */
export type PromptDescription = {
	readonly model: string;
	readonly promptTokens: number;
	readonly maxOutputTokens: number;
	/** Parts in order; the last belongs to this request or its session alone. */
	readonly parts: readonly PromptPart[];
	/** The caller's estimate of what will be made; often far off. */
	readonly expectedOutputTokens: number | undefined;
};

/** What a caller's headers say. */
export type CallerRequest = {
	readonly requestId: string | undefined;
	/** How much longer the caller waits; a span, since clocks differ. */
	readonly timeLeftMs: number | undefined;
	readonly key: string | undefined;
	readonly prompt: PromptDescription | undefined;
	/** The event after which a stream goes on. */
	readonly lastEventId: string | undefined;
};

/** Reads what callers send, and says what of it an upstream may see. */
export type CallerCodec = {
	readonly decodeRequest: (headers: IncomingHttpHeaders) => CallerRequest;
	/** Whether a header, by its name in lower case, is passed on as the caller sent it. */
	readonly isForwarded: (name: string) => boolean;
};

/** What the system tells an instance with a request. */
export type DispatchOrder = {
	readonly timeLeftMs: number;
	/** Any other instance at this address refuses. */
	readonly instanceId: string;
	readonly organisation: string | undefined;
	/** 0 goes first. */
	readonly priority: number;
	readonly cache: CacheOrder | undefined;
	readonly lastEventId: string | undefined;
};

/** What of a prompt may be cached, and for whom. */
export type CacheOrder = {
	/** Cached parts are found under the same text only: it keeps weight versions and isolated organisations apart. */
	readonly salt: string;
	readonly weightVersion: number;
	/** For each part in order, the store to fetch it from. */
	readonly fetchFrom: ReadonlyArray<string | undefined>;
	/** A fetch that has not ended by then, on the upstreams' clock, is thrown away. */
	readonly fetchUntilMs: number | undefined;
	/** For each part in order, the store to save it to once it has been read. */
	readonly saveTo: ReadonlyArray<string | undefined>;
};

/** What the headers of an instance's answer say. */
export type UpstreamAnswer = {
	readonly requestId: string | undefined;
	/** The instance says that it did not run the request and never will. */
	readonly isNotRun: boolean;
	readonly load: {readonly running: number; readonly waiting: number; readonly slots: number} | undefined;
	/** How long an idle connection is kept, as a span. */
	readonly idleMs: number | undefined;
	/** The instance says that it leaves and takes nothing new. */
	readonly isLeaving: boolean;
	/** How long an instance that turned the request away wants nothing from this daemon, as a span; not a number where it cannot be read. */
	readonly askedRestMs: number | undefined;
};

/** Writes what instances are told, and reads what they answer. */
export type UpstreamCodec = {
	readonly encodeDispatch: (order: DispatchOrder) => ReadonlyArray<readonly [name: string, value: string]>;
	readonly decodeAnswer: (status: number, headers: IncomingHttpHeaders) => UpstreamAnswer;
};
