/**
Builds what an upstream is sent from a program's history and the new input.
*/
import type {ProgramHistory} from '@siskinhub/core/history/program-history.js';
import type {CallRequest} from './call-request.js';

const toMessages = (input: unknown): unknown[] => Array.isArray(input) ? input : [input];

/** For a model: the messages of every earlier turn, each answer as an assistant's message, then the new input. For a plain service: the input alone. */
export const buildPayload = (call: CallRequest, history: ProgramHistory | undefined): string => {
	if (call.target.kind === 'service') {
		return JSON.stringify(call.input ?? null);
	}

	const messages: unknown[] = [];
	for (const turn of history?.turns ?? []) {
		messages.push(...toMessages(JSON.parse(turn.input)), {role: 'assistant', content: turn.output});
	}

	messages.push(...toMessages(call.input));
	return JSON.stringify(messages);
};
