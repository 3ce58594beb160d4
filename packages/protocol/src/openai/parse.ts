import {Ran, RefusalCode, RefusalError} from '../refusal.js';
import {
	chatRequestSchema, completionRequestSchema, type ChatRequest, type CompletionRequest,
} from './completions.js';

/** A prompt of either interface. */
export type ParsedPrompt = {
	readonly model: string;
	/** All messages as one text, in their order. */
	readonly prompt: string;
	readonly isChat: boolean;
	readonly isStream: boolean;
	readonly includesUsage: boolean;
	readonly maxTokens: number | undefined;
};

const decoder = new TextDecoder('utf-8', {fatal: true});

/**
Parses the body of a completion request; throws a `RefusalError` that names everything wrong with it.

@example
```
parsePrompt(new TextEncoder().encode('{"model":"assistant","prompt":"Hello"}'), false).prompt; //=> 'Hello'
```
*/
export function parsePrompt(body: Uint8Array, isChat: boolean): ParsedPrompt {
	const value = parseJsonBody(body);

	if (!isChat) {
		const completion = checkShape(completionRequestSchema.safeParse(value));

		return {...readCommon(completion), isChat, prompt: completion.prompt};
	}

	const chat = checkShape(chatRequestSchema.safeParse(value));
	const prompt = chat.messages.map(message => `${message.role}\n${joinContent(message.content)}\n`).join('');

	return {...readCommon(chat), isChat, prompt};
}

/** Parses JSON in UTF-8. */
export function parseJsonBody(body: Uint8Array): unknown {
	let text: string;

	try {
		text = decoder.decode(body);
	} catch {
		throw refuse(RefusalCode.BadJson, 'the body is not UTF-8');
	}

	try {
		return JSON.parse(text) as unknown;
	} catch {
		throw refuse(RefusalCode.BadJson, 'the body is not JSON');
	}
}

type Issue = {readonly path: readonly PropertyKey[]; readonly message: string};
type Parsed<Value> = {readonly success: true; readonly data: Value} | {readonly success: false; readonly error: {readonly issues: readonly Issue[]}};

/** Returns the parsed value, or throws a `RefusalError` with all issues. */
export function checkShape<Value>(parsed: Parsed<Value>): Value {
	if (parsed.success) {
		return parsed.data;
	}

	throw refuse(RefusalCode.BadRequest, parsed.error.issues.map(issue => `${issue.path.map(String).join('.')}: ${issue.message}`).join('; '));
}

function refuse(code: RefusalCode, message: string): RefusalError {
	return new RefusalError({code, message, ran: Ran.NotRun});
}

function readCommon(request: ChatRequest | CompletionRequest) {
	return {
		model: request.model,
		isStream: request.stream ?? false,
		includesUsage: request.stream_options?.include_usage ?? false,
		maxTokens: request.max_completion_tokens ?? request.max_tokens ?? undefined,
	};
}

function joinContent(content: ChatRequest['messages'][number]['content']): string {
	return typeof content === 'string' ? content : (content ?? []).map(part => part.text).join('');
}
