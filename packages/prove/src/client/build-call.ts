/**
Builds the calls that the programs of a proof send.
*/
import {requestMark} from '../history/request-mark.js';
import type {ClientCall} from './client-call.js';
import type {ProgramOptions} from './program-options.js';

const DEFAULT_DEADLINE_RANGE_MS = [5000, 5000] as const;
const MAX_OUTPUT_TOKENS = 128;

/** What a call asks for. `service`: it goes to a plain service instead of a model; `tokens`: length of the answer. */
type CallKind = {readonly service: boolean; readonly isIdempotent: boolean; readonly tokens: number};

const drawDeadline = ({random, deadlineMs: [min, max] = DEFAULT_DEADLINE_RANGE_MS}: ProgramOptions): number => Math.round(min + (random() * (max - min)));

/** Puts the mark into the input, so that upstreams record which logical request they ran. */
export const buildCall = (options: ProgramOptions, program: string, turn: number, request: number, kind: CallKind): ClientCall => {
	const mark = requestMark.build(options.alias, turn, request);
	const text = options.fixedText ?? `[[mark=${mark}]] [[tokens=${kind.tokens}]] ${options.extraText ?? ''}`;
	return {
		program,
		mark,
		turn,
		isIdempotent: kind.isIdempotent,
		target: kind.service ? {service: 'booking-core', operation: 'book'} : {model: 'modelos-trenza'},
		input: kind.service ? {text} : [{role: 'user', content: text}],
		deadlineMs: drawDeadline(options),
		maxOutputTokens: MAX_OUTPUT_TOKENS,
	};
};
