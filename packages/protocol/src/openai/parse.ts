import {ExecutionStatus, RefusalCode, RefusalError} from '../refusal.js';
import {
	chatRequestSchema, completionRequestSchema, type ChatRequest, type CompletionRequest,
} from './completions.js';

/** Prompt of a chat or text completion request. */
export type ParsedPrompt = {
	readonly model: string;
	/** The text; for a chat, all messages in order, joined into one text. */
	readonly prompt: string;
	readonly isChat: boolean;
	readonly isStreaming: boolean;
	readonly shouldIncludeUsage: boolean;
	readonly maxTokens: number | undefined;
};

const decoder = new TextDecoder('utf-8', {fatal: true});

/**
Parses the body of a completion request; throws a `RefusalError` that lists all errors in it.

@example
```
parsePrompt(new TextEncoder().encode('{"model":"assistant","prompt":"Hello"}'), false).prompt; //=> 'Hello'
```
*/
export function parsePrompt(body: Uint8Array, isChat: boolean): ParsedPrompt {
	const value = parseJsonBody(body);

	if (!isChat) {
		const completion = requireParsed(completionRequestSchema.safeParse(value));

		return {...readCommonFields(completion), isChat, prompt: completion.prompt};
	}

	const chat = requireParsed(chatRequestSchema.safeParse(value));
	const prompt = chat.messages.map(message => `${message.role}\n${joinContent(message.content)}\n`).join('');

	return {...readCommonFields(chat), isChat, prompt};
}

/** Parses a body of JSON in UTF-8; throws a `RefusalError` if it is not valid. */
export function parseJsonBody(body: Uint8Array): unknown {
	let text: string;

	try {
		text = decoder.decode(body);
	} catch {
		throw createRefusalError(RefusalCode.BadJson, 'the body is not UTF-8');
	}

	try {
		return JSON.parse(text) as unknown;
	} catch {
		throw createRefusalError(RefusalCode.BadJson, 'the body is not JSON');
	}
}

type Issue = {readonly path: readonly PropertyKey[]; readonly message: string};
type ParseResult<Value> = {readonly success: true; readonly data: Value} | {readonly success: false; readonly error: {readonly issues: readonly Issue[]}};

/** Returns the data of a successful parse; throws a `RefusalError` with all issues otherwise. */
export function requireParsed<Value>(parsed: ParseResult<Value>): Value {
	if (parsed.success) {
		return parsed.data;
	}

	throw createRefusalError(RefusalCode.BadRequest, parsed.error.issues.map(issue => `${issue.path.map(String).join('.')}: ${issue.message}`).join('; '));
}

function createRefusalError(code: RefusalCode, message: string): RefusalError {
	return new RefusalError({code, message, ran: ExecutionStatus.NotRun});
}

function readCommonFields(request: ChatRequest | CompletionRequest) {
	return {
		model: request.model,
		isStreaming: request.stream ?? false,
		shouldIncludeUsage: request.stream_options?.include_usage ?? false,
		maxTokens: request.max_completion_tokens ?? request.max_tokens ?? undefined,
	};
}

function joinContent(content: ChatRequest['messages'][number]['content']): string {
	return typeof content === 'string' ? content : (content ?? []).map(part => part.text).join('');
}
