/**
Validates the body of a call.
*/
import * as z from 'zod';

const MAX_TURN = 1_000_000;
const MAX_OUTPUT_TOKENS = 1_000_000;
const MAX_DEADLINE_MS = 3_600_000;
const REQUEST_ID_PATTERN = /^[\w.:\-]{1,128}$/v;
const NAME_LENGTH = 128;

const nameSchema = z.string().min(1).max(NAME_LENGTH);

const chatMessagesSchema = z.array(z.looseObject({role: z.string()})).min(1);

/** The turns as returned by `GET …/history`; the owner verifies the chain of their digests. */
const historySchema = z.object({
	turns: z.array(z.object({
		program: z.string(),
		turn: z.int(),
		requestId: z.string(),
		previous: z.string(),
		digest: z.string(),
		input: z.string(),
		output: z.string(),
		promptTokens: z.number(),
		outputTokens: z.number(),
		finish: z.string(),
	})),
});

/** The fields are described in docs/guide/http-api.md. */
export const callBodySchema = z.strictObject({
	turn: z.int().min(1).max(MAX_TURN),
	requestId: z.string().regex(REQUEST_ID_PATTERN, 'expected 1 to 128 letters, digits, - _ . :'),
	idempotent: z.boolean().default(false),
	deadlineMs: z.int().min(1).max(MAX_DEADLINE_MS).optional(),
	target: z.union([
		z.strictObject({model: nameSchema}),
		z.strictObject({service: nameSchema, operation: z.string().regex(/^[\w\-]{1,128}$/v, 'expected letters, digits, - _')}),
	], {error: 'expected {"model"} or {"service", "operation"}'}),
	input: z.unknown(),
	maxOutputTokens: z.int().min(1).max(MAX_OUTPUT_TOKENS).default(1024),
	after: z.string().max(NAME_LENGTH).default(''),
	history: historySchema.optional(),
}).refine(call => 'service' in call.target || chatMessagesSchema.safeParse(call.input).success, {
	path: ['input'],
	error: 'expected an array of chat messages, each with a role, for a model',
});
