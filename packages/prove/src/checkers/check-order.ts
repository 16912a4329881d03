/**
The calls of one program run in the order that the program issued them.
*/
import type {Execution} from '../history/execution.js';
import type {RecordedRun} from '../history/recorded-run.js';
import {requestMark} from '../history/request-mark.js';
import type {Violation} from '../history/violation.js';

type Step = {readonly execution: Execution; readonly turn: number};

const collectSteps = (executions: readonly Execution[]): Map<string, Step[]> => {
	const steps = new Map<string, Step[]>();
	for (const execution of executions) {
		const parsed = requestMark.parse(execution.mark);
		if (parsed) {
			steps.set(parsed.alias, [...steps.get(parsed.alias) ?? [], {execution, turn: parsed.turn}]);
		}
	}

	return steps;
};

const checkStep = (alias: string, step: Step, steps: readonly Step[]): Violation[] => {
	const {execution: {startedAt, mark}, turn} = step;
	const marks = steps.filter(other => Math.abs(other.turn - turn) <= 1).map(other => other.execution.mark);
	const predecessorEnded = turn === 1 || steps.some(other => other.turn === turn - 1 && (other.execution.endedAt ?? Infinity) <= startedAt);
	const overtaken = steps.find(other => other.turn > turn && other.execution.startedAt < startedAt);
	return [
		...predecessorEnded ? [] : [{message: `${alias}: ${mark} began before turn ${turn - 1} had ended`, at: startedAt, marks}],
		...overtaken ? [{message: `${alias}: ${mark} began after turn ${overtaken.turn} had begun`, at: startedAt, marks: [...marks, overtaken.execution.mark]}] : [],
	];
};

/** Turn n begins after a run of turn n - 1 ended, and never after a run of a later turn began. */
export const checkOrder = ({executions}: RecordedRun): Violation[] =>
	[...collectSteps(executions)].flatMap(([alias, steps]) => steps.flatMap(step => checkStep(alias, step, steps)));
