/**
Builds the calls of a proof's programs.
*/
import {requestMark} from '../history/request-mark.js';
import type {CallRequest} from './call-request.js';
import type {ProgramOptions} from './program-options.js';

const DEADLINE_MS = [5000, 5000] as const;
const MOST_OUTPUT_TOKENS = 128;

/** What the call asks for. */
type CallKind = {readonly service: boolean; readonly isIdempotent: boolean; readonly tokens: number};

const drawDeadline = ({random, deadlineMs: [least, most] = DEADLINE_MS}: ProgramOptions): number => Math.round(least + (random() * (most - least)));

/** The input names its logical request, so that upstreams record it. */
export const buildCall = (options: ProgramOptions, program: string, turn: number, request: number, kind: CallKind): CallRequest => {
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
		maxOutputTokens: MOST_OUTPUT_TOKENS,
	};
};
