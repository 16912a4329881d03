/**
Checks that a row never spends more tokens than its budget.
*/
import type {Execution} from '../history/execution.js';
import type {Violation} from '../history/violation.js';

/** A value of the budget cell and the time from which it must be enforced. */
type BudgetLimit = {readonly tokens: number; readonly from: number};

const sumSpentTokens = (executions: readonly Execution[], at: number): number => executions
	.filter(({startedAt, endedAt}) => (endedAt ?? startedAt) <= at)
	.reduce((sum, {promptTokens, outputTokens}) => sum + promptTokens + outputTokens, 0);

/** Returns the limit that was enforced when a run started; the run may end under it even if the limit is lowered meanwhile. */
const findLimit = (limits: readonly BudgetLimit[], startedAt: number): number => limits.findLast(({from}) => from <= startedAt)?.tokens ?? Infinity;

/** `executions` must hold every run of the row, including cancelled and lost ones; `limits` are ordered by time. */
export const checkBudget = (executions: readonly Execution[], limits: readonly BudgetLimit[]): Violation[] => executions.flatMap(execution => {
	const at = execution.endedAt ?? execution.startedAt;
	const spent = sumSpentTokens(executions, at);
	const limit = findLimit(limits, execution.startedAt);
	return spent > limit ? [{message: `${spent} tokens were spent of a budget of ${limit} when ${execution.mark} ended`, at, marks: [execution.mark]}] : [];
});
