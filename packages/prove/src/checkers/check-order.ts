/**
Checks that the calls of a program run in the order of their turns.
*/
import type {Execution} from '../history/execution.js';
import type {RecordedRun} from '../history/recorded-run.js';
import {requestMark} from '../history/request-mark.js';
import type {Violation} from '../history/violation.js';

/** An execution and the turn that it belongs to, taken from its mark. */
type TurnExecution = {readonly execution: Execution; readonly turn: number};

const groupByAlias = (executions: readonly Execution[]): Map<string, TurnExecution[]> => {
	const turnExecutionsByAlias = new Map<string, TurnExecution[]>();
	for (const execution of executions) {
		const parsed = requestMark.parse(execution.mark);
		if (parsed) {
			turnExecutionsByAlias.set(parsed.alias, [...turnExecutionsByAlias.get(parsed.alias) ?? [], {execution, turn: parsed.turn}]);
		}
	}

	return turnExecutionsByAlias;
};

const checkTurnExecution = (alias: string, turnExecution: TurnExecution, turnExecutions: readonly TurnExecution[]): Violation[] => {
	const {execution: {startedAt, mark}, turn} = turnExecution;
	const marks = turnExecutions.filter(other => Math.abs(other.turn - turn) <= 1).map(other => other.execution.mark);
	const hasPredecessorEnded = turn === 1 || turnExecutions.some(other => other.turn === turn - 1 && (other.execution.endedAt ?? Infinity) <= startedAt);
	const laterTurn = turnExecutions.find(other => other.turn > turn && other.execution.startedAt < startedAt);
	return [
		...hasPredecessorEnded ? [] : [{message: `${alias}: ${mark} began before turn ${turn - 1} had ended`, at: startedAt, marks}],
		...laterTurn ? [{message: `${alias}: ${mark} began after turn ${laterTurn.turn} had begun`, at: startedAt, marks: [...marks, laterTurn.execution.mark]}] : [],
	];
};

/** Turn n must start after a run of turn n - 1 ended, and before any run of a later turn. */
export const checkOrder = ({executions}: RecordedRun): Violation[] =>
	[...groupByAlias(executions)].flatMap(([alias, turnExecutions]) => turnExecutions.flatMap(turnExecution => checkTurnExecution(alias, turnExecution, turnExecutions)));
