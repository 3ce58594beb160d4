import {type IncomingHttpHeaders} from 'node:http';
import {type PromptPart} from '@fescuestair/routing';

/** A prompt, as described by the caller. */
export type PromptDescription = {
	readonly model: string;
	readonly promptTokens: number;
	readonly maxOutputTokens: number;
	/** Parts in order; the last one is specific to this request or its session. */
	readonly parts: readonly PromptPart[];
	/** The caller's estimate of the output length; often inaccurate. */
	readonly expectedOutputTokens: number | undefined;
};

/** Metadata of a request, decoded from the caller's headers. */
export type CallerRequestMetadata = {
	readonly requestId: string | undefined;
	/** How much longer the caller waits; a duration, since the clocks of the machines differ. */
	readonly timeLeftMs: number | undefined;
	/** API key, which identifies the organisation. */
	readonly key: string | undefined;
	readonly prompt: PromptDescription | undefined;
	/** Id of the event after which the stream is to resume. */
	readonly lastEventId: string | undefined;
	/** Id of the attempt that brought the first event of the stream that is taken up again. */
	readonly resumedRequestId: string | undefined;
};

/** Decodes callers' requests, and selects the headers that are forwarded to upstreams. */
export type CallerCodec = {
	readonly decodeRequest: (headers: IncomingHttpHeaders) => CallerRequestMetadata;
	/** Whether a header, given by its name in lower case, is forwarded unchanged. */
	readonly isForwarded: (name: string) => boolean;
};

/** Metadata that the gateway sends to an instance along with a request. */
export type DispatchMetadata = {
	readonly timeLeftMs: number;
	/** The instance that the request is meant for; another one that now runs at the same address must reject it. */
	readonly instanceId: string;
	readonly organisation: string | undefined;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly cache: CacheInstructions | undefined;
	readonly lastEventId: string | undefined;
};

/** Which parts of a prompt are fetched from stores, which are saved to them, and who may share them. */
export type CacheInstructions = {
	/** Cached parts are only found under the salt that they were stored with, which separates weight versions and isolated organisations. */
	readonly salt: string;
	readonly weightVersion: number;
	/** One entry per part, in order: the address of the store to fetch it from. */
	readonly fetchAddresses: ReadonlyArray<string | undefined>;
	/** Deadline of the fetches, on the upstreams' clock; the result of a fetch that ends later is discarded. */
	readonly fetchDeadlineMs: number | undefined;
	/** One entry per part, in order: the address of the store to save it to once it has been processed. */
	readonly saveAddresses: ReadonlyArray<string | undefined>;
};

/** Metadata of a response, decoded from the instance's status and headers. */
export type UpstreamResponseMetadata = {
	readonly requestId: string | undefined;
	/** Whether the instance states that it did not execute the request and never will. */
	readonly isNotRun: boolean;
	readonly load: {
		readonly running: number; readonly waiting: number; readonly slots: number;
		/** Time that work takes on the instance's machine at this moment, as a factor of the usual time; absent where the instance does not tell. */
		readonly slowdown?: number | undefined;
	} | undefined;
	/** How much longer the instance is cold, as a duration; `undefined` where it does not tell. */
	readonly coldLeftMs?: number | undefined;
	/** How long the instance keeps idle connections open, as a duration. */
	readonly idleTimeoutMs: number | undefined;
	/** Whether the instance states that it is shutting down and accepts no new requests. */
	readonly isLeaving: boolean;
	/** Back-off period that an instance asks of this gateway when it rejects a request, as a duration; NaN where the value cannot be parsed. */
	readonly askedRestMs: number | undefined;
	/**
	Requests per second that the instance accepts from all gateways together; `undefined` where it names no limit, NaN where the value cannot be
	parsed.
	*/
	readonly requestsPerSecond: number | undefined;
	/** Version of the weights that the response began on; `undefined` where the instance names none. */
	readonly weightVersion?: number | undefined;
};

/** Encodes the metadata of requests to instances, and decodes that of their responses. */
export type UpstreamCodec = {
	readonly encodeDispatch: (order: DispatchMetadata) => ReadonlyArray<readonly [name: string, value: string]>;
	readonly decodeResponse: (status: number, headers: IncomingHttpHeaders) => UpstreamResponseMetadata;
};
