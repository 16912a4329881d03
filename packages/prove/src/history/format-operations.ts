/**
Formats the part of a recorded run that a violation concerns.
*/
import type {Execution} from './execution.js';
import type {Operation} from './operation.js';
import type {RecordedRun} from './recorded-run.js';
import type {Violation} from './violation.js';

const MAX_LINES = 60;
const FAULT_MARGIN_MS = 1500;
const TIME_WIDTH = 8;

type Line = {readonly at: number; readonly text: string};

const describeOutcome = ({outcome}: Operation): string => {
	switch (outcome?.kind) {
		case undefined: {
			return 'no answer';
		}

		case 'final': {
			return `final, ${outcome.bytes} bytes, ${outcome.promptTokens}+${outcome.outputTokens} tokens`;
		}

		case 'refused': {
			return `refused ${outcome.code}: ${outcome.message}`;
		}

		case 'cut': {
			return `cut: ${outcome.message}`;
		}

		case 'done': {
			return `done ${JSON.stringify(outcome.value ?? null).slice(0, 200)}`;
		}
	}
};

const describeOperation = (operation: Operation): Line[] => {
	const {id, kind, via, mark = '', program = ''} = operation;
	const name = `#${id} ${kind} ${mark || program} via ${via}`;
	return [
		{at: operation.invokedAt, text: `${name} →`},
		...operation.acceptedAt === undefined ? [] : [{at: operation.acceptedAt, text: `${name} accepted`}],
		...operation.completedAt === undefined ? [] : [{at: operation.completedAt, text: `${name} ← ${describeOutcome(operation)}`}],
	];
};

const describeExecution = ({mark, upstream, startedAt, endedAt, fate, promptTokens, outputTokens}: Execution): Line[] => [
	{at: startedAt, text: `   ${upstream} begins ${mark}`},
	...endedAt === undefined ? [] : [{at: endedAt, text: `   ${upstream} ends ${mark}: ${fate}, ${promptTokens}+${outputTokens} tokens`}],
];

/** Returns one line per event, oldest first, with seconds since the first operation of the run, and includes faults close in time. */
export const formatOperations = (run: RecordedRun, violation: Violation): string => {
	const marks = new Set(violation.marks);
	const programs = new Set(violation.programs);
	const concerns = (mark?: string, program?: string): boolean => marks.has(mark ?? '') || programs.has(program ?? '');
	const lines: Line[] = [
		...run.operations.filter(({mark, program}) => concerns(mark, program)).flatMap(operation => describeOperation(operation)),
		...run.executions.filter(({mark, program}) => concerns(mark, program)).flatMap(execution => describeExecution(execution)),
	];
	const from = Math.min(...lines.map(({at}) => at), violation.at) - FAULT_MARGIN_MS;
	const to = Math.max(...lines.map(({at}) => at), violation.at);
	const faults = run.faults
		.filter(({at}) => at >= from && at <= to)
		.map(({at, kind, target, detail}) => ({at, text: `!! ${kind} ${target} ${detail ?? ''}`}));
	const start = run.operations[0]?.invokedAt ?? from;
	return [...lines, ...faults, {at: violation.at, text: `** ${violation.message}`}]
		.toSorted((a, b) => a.at - b.at)
		.slice(-MAX_LINES)
		.map(({at, text}) => `${((at - start) / 1000).toFixed(3).padStart(TIME_WIDTH)} s  ${text}`)
		.join('\n');
};
