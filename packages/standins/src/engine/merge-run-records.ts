/**
Folds the lines of an engine's record file into one record per run.
*/
import type {RunRecord} from './run-record.js';

/** A run stands in the file twice: when it began and when it ended. One of `deadRuns` that never ended counts as lost. */
export const mergeRunRecords = (lines: readonly RunRecord[], deadRuns: ReadonlySet<string>): RunRecord[] => {
	const byRun = new Map<string, RunRecord>();
	for (const line of lines) {
		byRun.set(line.run, line);
	}

	return Array.from(byRun.values(), record => deadRuns.has(record.run) && record.fate === 'running' ? {...record, fate: 'lost'} : record);
};
