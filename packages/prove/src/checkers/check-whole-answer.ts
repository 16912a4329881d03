/**
Checks that an answer is complete and belongs to its own request: it is
byte-equal to what an upstream produced for that request, or to the part up to
a limit.
*/
import {Buffer} from 'node:buffer';
import type {Execution} from '../history/execution.js';
import type {Operation} from '../history/operation.js';
import type {RecordedRun} from '../history/recorded-run.js';
import type {Violation} from '../history/violation.js';
import {groupByMark} from './group-by-mark.js';

type FinalOutcome = Extract<Operation['outcome'], {kind: 'final'}>;

const LIMIT_FINISHES = new Set(['budget', 'length']);

/** An answer that was cut at a limit may be a prefix of a run that was cancelled there, or of one that produced more tokens than asked. */
const matchesModelOutput = ({fate, text, outputTokens}: Execution, answer: FinalOutcome, maxOutputTokens: number): boolean => {
	const isCutShort = LIMIT_FINISHES.has(answer.finish) && answer.text !== '' && text.startsWith(answer.text);
	return fate === 'finished'
		? text === answer.text || (isCutShort && outputTokens > maxOutputTokens)
		: fate === 'cancelled' && isCutShort;
};

const matchesExecution = (execution: Execution, answer: FinalOutcome, maxOutputTokens: number): boolean => execution.kind === 'service'
	? answer.text.includes(`"confirmation":"${execution.confirmation ?? ''}"`)
	: matchesModelOutput(execution, answer, maxOutputTokens);

const findProblem = ({outcome, maxOutputTokens = Infinity}: Operation, executions: readonly Execution[]): string | undefined => {
	if (outcome?.kind !== 'final') {
		return undefined;
	}

	const {text, bytes, gap} = outcome;
	if (gap !== undefined) {
		return `was answered with a gap: ${gap}`;
	}

	if (Buffer.byteLength(text) !== bytes) {
		return `was answered with ${Buffer.byteLength(text)} bytes, and the final event says ${bytes}`;
	}

	return executions.some(execution => matchesExecution(execution, outcome, maxOutputTokens)) ? undefined : 'was answered with a text that no run of it produced';
};

/** Skips operations without a final answer: a refusal and a lost connection are allowed outcomes. */
export const checkWholeAnswer = ({operations, executions}: RecordedRun): Violation[] => {
	const executionsByMark = groupByMark(executions);
	return operations.flatMap(operation => {
		const {mark, completedAt, id} = operation;
		const problem = mark === undefined ? undefined : findProblem(operation, executionsByMark.get(mark) ?? []);
		return problem ? [{message: `#${id} ${mark} ${problem}`, at: completedAt ?? 0, marks: [mark ?? '']}] : [];
	});
};
