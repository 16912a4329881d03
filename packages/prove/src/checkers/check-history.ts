/**
Checks that a program's history is never lost or mixed with another program's:
every history that was read is a valid chain of the program's own turns, holds
each turn that was answered before the read, and extends every earlier read.
*/
import type {Operation} from '../history/operation.js';
import type {RecordedRun} from '../history/recorded-run.js';
import {requestMark} from '../history/request-mark.js';
import type {Violation} from '../history/violation.js';

/** The body of `GET …/history`. */
type HistoryBody = {
	readonly program: string;
	readonly digest: string;
	readonly turns: ReadonlyArray<{readonly turn: number; readonly requestId: string; readonly output: string; readonly digest: string}>;
};

/** A successful read and the history that it returned. */
type HistoryRead = {readonly operation: Operation; readonly body: HistoryBody};

const listReads = (operations: readonly Operation[]): HistoryRead[] => operations.flatMap(operation => operation.kind === 'history' && operation.outcome?.kind === 'done'
	? [{operation, body: operation.outcome.value as HistoryBody}]
	: []);

const checkShape = ({operation, body}: HistoryRead): string[] => {
	const alias = String(operation.detail);
	return [
		...body.program === operation.program ? [] : [`names program ${body.program}`],
		...body.turns.filter(({turn}, index) => turn !== index + 1).map(({turn}) => `has turn ${turn} out of place`),
		...body.turns.filter(({requestId}) => requestMark.parse(requestId)?.alias !== alias).map(({requestId}) => `holds another program's request ${requestId}`),
		...body.digest === (body.turns.at(-1)?.digest ?? '') ? [] : ['has a digest that is not its last turn\'s'],
	];
};

const checkAnswered = ({operation, body}: HistoryRead, calls: readonly Operation[]): string[] => calls
	.filter(({program, completedAt, outcome}) => program === operation.program && outcome?.kind === 'final' && (completedAt ?? Infinity) <= operation.invokedAt)
	.flatMap(({mark, turn, outcome}) => {
		const stored = body.turns[(turn ?? 0) - 1];
		if (stored?.requestId !== mark) {
			return [`lost ${mark}, which had been answered`];
		}

		return outcome?.kind === 'final' && (stored?.output !== outcome.text || stored.digest !== outcome.digest) ? [`holds another answer to ${mark}`] : [];
	});

const checkGrowth = (read: HistoryRead, reads: readonly HistoryRead[]): string[] => reads
	.filter(({operation, body}) => body.program === read.body.program && (operation.completedAt ?? Infinity) <= read.operation.invokedAt)
	.filter(({body}) => body.turns.some(({digest}, index) => read.body.turns[index]?.digest !== digest))
	.map(({operation}) => `does not continue what #${operation.id} had read`);

/** Compares each read with the answers and the reads that completed before it began. */
export const checkHistory = ({operations}: RecordedRun): Violation[] => {
	const reads = listReads(operations);
	const calls = operations.filter(({kind}) => kind === 'call' || kind === 'attach');
	return reads.flatMap(read => [...checkShape(read), ...checkAnswered(read, calls), ...checkGrowth(read, reads)].map(problem => ({
		message: `#${read.operation.id} the history of ${read.operation.program ?? ''} ${problem}`,
		at: read.operation.completedAt ?? 0,
		programs: [read.operation.program ?? ''],
	})));
};
