import {z} from 'zod';

const contentSchema = z.union([
	z.string(),
	z.array(z.object({type: z.literal('text'), text: z.string()})),
]);

const commonFields = {
	model: z.string().min(1).max(128),
	stream: z.boolean().nullish(),
	max_tokens: z.number().int().positive().max(1_000_000).nullish(),
	max_completion_tokens: z.number().int().positive().max(1_000_000).nullish(),
	n: z.literal(1, 'only one choice is served').nullish(),
	stream_options: z.object({include_usage: z.boolean().optional()}).nullish(),
};

/** Body of `POST /v1/chat/completions`; other fields are ignored. */
export const chatRequestSchema = z.object({
	...commonFields,
	messages: z.array(z.object({role: z.string().min(1).max(32), content: contentSchema.nullish()})).min(1).max(10_000),
});

/** Body of `POST /v1/completions`. */
export const completionRequestSchema = z.object({
	...commonFields,
	prompt: z.string().min(1),
});

export type ChatRequest = z.infer<typeof chatRequestSchema>;
export type CompletionRequest = z.infer<typeof completionRequestSchema>;

type ResponseInput = {
	readonly requestId: string;
	readonly model: string;
	readonly createdSeconds: number;
	readonly isChat: boolean;
};

type ChunkInput = ResponseInput & {
	readonly text: string;
	readonly isFirst: boolean;
	readonly finishReason: string | undefined;
};

/**
Creates one chunk of a streamed response.

@example
```
createChunk({requestId: 'r-1', model: 'assistant', createdSeconds: 0, isChat: true, text: 'Hello', isFirst: true, finishReason: undefined});
```
*/
export function createChunk(input: ChunkInput): Record<string, unknown> {
	const {
		requestId, model, createdSeconds, isChat, text, isFirst, finishReason = null,
	} = input;
	const delta = {...(isFirst && {role: 'assistant'}), ...(text !== '' && {content: text})};
	const choice = isChat ? {index: 0, delta, finish_reason: finishReason} : {index: 0, text, finish_reason: finishReason};

	return {
		id: requestId, object: isChat ? 'chat.completion.chunk' : 'text_completion', created: createdSeconds, model, choices: [choice],
	};
}

type CompletionInput = ResponseInput & {
	readonly text: string;
	readonly finishReason: string;
	readonly promptTokens: number;
	readonly completionTokens: number;
};

/** Creates a complete response. */
export function createCompletion(input: CompletionInput): Record<string, unknown> {
	const {
		requestId, model, createdSeconds, isChat, text, finishReason, promptTokens, completionTokens,
	} = input;
	const choice = isChat
		? {index: 0, message: {role: 'assistant', content: text}, finish_reason: finishReason}
		: {index: 0, text, finish_reason: finishReason};

	return {
		id: requestId,
		object: isChat ? 'chat.completion' : 'text_completion',
		created: createdSeconds,
		model,
		choices: [choice],
		usage: {prompt_tokens: promptTokens, completion_tokens: completionTokens, total_tokens: promptTokens + completionTokens},
	};
}
