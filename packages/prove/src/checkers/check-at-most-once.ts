/**
Checks that a non-idempotent request runs at most once, that it does not start
after its outcome was reported as unknown, and that it ran if it was answered.
Refusals as not-run are covered by `check-not-run.ts`.
*/
import type {Execution} from '../history/execution.js';
import type {Operation} from '../history/operation.js';
import type {RecordedRun} from '../history/recorded-run.js';
import type {Violation} from '../history/violation.js';
import {groupByMark} from './group-by-mark.js';

const checkRunCount = (mark: string, executions: readonly Execution[]): Violation[] => {
	const second = executions.toSorted((a, b) => a.startedAt - b.startedAt)[1];
	return second ? [{message: `${mark} ran ${executions.length} times`, at: second.startedAt, marks: [mark]}] : [];
};

const checkUnknownOutcomes = (mark: string, attempts: readonly Operation[], executions: readonly Execution[]): Violation[] => {
	const unknownAt = attempts
		.filter(({outcome}) => outcome?.kind === 'refused' && outcome.code === 'outcome-unknown')
		.map(({completedAt}) => completedAt ?? Infinity);
	const firstUnknownAt = Math.min(...unknownAt);
	return executions
		.filter(({startedAt}) => startedAt > firstUnknownAt)
		.map(({startedAt}) => ({message: `${mark} ran after its outcome was called unknown`, at: startedAt, marks: [mark]}));
};

const checkAnswersHaveRun = (mark: string, attempts: readonly Operation[], executions: readonly Execution[]): Violation[] => attempts
	.filter(({outcome}) => outcome?.kind === 'final' && executions.length === 0)
	.map(({completedAt}) => ({message: `${mark} was answered although it never ran`, at: completedAt ?? 0, marks: [mark]}));

/** Compares the attempts of each non-idempotent request with the executions that upstreams recorded under the same mark. */
export const checkAtMostOnce = ({operations, executions}: RecordedRun): Violation[] => {
	const calls = operations.filter(({kind, isIdempotent}) => (kind === 'call' || kind === 'attach') && isIdempotent === false);
	const executionsByMark = groupByMark(executions);
	return [...groupByMark(calls)].flatMap(([mark, attempts]) => {
		const own = executionsByMark.get(mark) ?? [];
		return [...checkRunCount(mark, own), ...checkUnknownOutcomes(mark, attempts, own), ...checkAnswersHaveRun(mark, attempts, own)];
	});
};
