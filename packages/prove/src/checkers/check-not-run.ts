/**
Checks that a request refused as not-run had not run, and that it does not run
later unless its caller sends it again after the refusal.
*/
import type {Execution} from '../history/execution.js';
import type {Operation} from '../history/operation.js';
import type {RecordedRun} from '../history/recorded-run.js';
import type {Violation} from '../history/violation.js';
import {groupByMark} from './group-by-mark.js';

/** Finds an execution that no call sent after the refusal accounts for. */
const findUnexplainedExecution = (refusal: Operation, attempts: readonly Operation[], executions: readonly Execution[]): Execution | undefined => {
	const refusedAt = refusal.completedAt ?? 0;
	const later = attempts.filter(({kind, invokedAt}) => kind === 'call' && invokedAt >= refusedAt);
	return executions.find(({startedAt}) => !later.some(({invokedAt}) => invokedAt <= startedAt));
};

/** Compares each not-run refusal with the executions that upstreams recorded under the same mark. */
export const checkNotRun = ({operations, executions}: RecordedRun): Violation[] => {
	const executionsByMark = groupByMark(executions);
	return [...groupByMark(operations)].flatMap(([mark, attempts]) => attempts
		.filter(({outcome}) => outcome?.kind === 'refused' && outcome.code === 'not-run')
		.flatMap(refusal => {
			const execution = findUnexplainedExecution(refusal, attempts, executionsByMark.get(mark) ?? []);
			return execution
				? [{message: `${mark} was refused as not-run (#${refusal.id}) and ran on ${execution.upstream}`, at: Math.max(execution.startedAt, refusal.completedAt ?? 0), marks: [mark]}]
				: [];
		}));
};
