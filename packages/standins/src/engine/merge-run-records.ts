/**
Merges the lines of an engine's records file into one record per run.
*/
import type {RunRecord} from './run-record.js';

/** Keeps the last line of each run, because one line is written when a run starts and another when it ends. A run of `earlierRuns`, those of an earlier process, counts as lost if it did not end. */
export const mergeRunRecords = (lines: readonly RunRecord[], earlierRuns: ReadonlySet<string>): RunRecord[] => {
	const byRun = new Map<string, RunRecord>();
	for (const line of lines) {
		byRun.set(line.run, line);
	}

	return Array.from(byRun.values(), record => earlierRuns.has(record.run) && record.fate === 'running' ? {...record, fate: 'lost'} : record);
};
