/**
Builds the payload that an upstream receives, from a program's history and the
new input.
*/
import type {ProgramHistory} from '@siskinhub/core/history/program-history.js';
import type {CallRequest} from './call-request.js';

type StoredTurn = ProgramHistory['turns'][number];

const isChatMessage = (value: unknown): boolean => typeof value === 'object' && value !== null && 'role' in value;

/** Converts a turn to chat messages; the model sees a plain service's turn as a tool call and its result. */
const toMessages = (turn: StoredTurn): unknown[] => {
	const input = JSON.parse(turn.input) as unknown;
	return Array.isArray(input) && input.every(value => isChatMessage(value))
		? [...input as unknown[], {role: 'assistant', content: turn.output}]
		: [{role: 'assistant', content: turn.input}, {role: 'tool', content: turn.output}];
};

/** Returns JSON. For a model: the messages of every earlier turn, each answer as an assistant message, then the new input. For a plain service: only the input. */
export const buildPayload = (call: CallRequest, history: ProgramHistory | undefined): string => {
	if (call.target.kind === 'service') {
		return JSON.stringify(call.input ?? null);
	}

	const earlier = (history?.turns ?? []).flatMap(turn => toMessages(turn));
	return JSON.stringify([...earlier, ...call.input as unknown[]]);
};
