/**
Reads program histories from the log of a history holder, after pending writes have
reached the disk.
*/
import type {ProgramHistory} from '@siskinhub/core/history/program-history.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import {err, type Result} from 'neverthrow';
import type {ProgramIndex} from './program-index.js';
import type {HistoryError} from './history-error.js';
import type {LogWriter} from './log/log-writer.js';
import {readProgram} from './read-program.js';

const MAX_ATTEMPTS = 3;

/** Creates the `readHistory` method of a store. */
export const createHistoryReader = (folder: string, index: ProgramIndex, writer: LogWriter) => async (id: ProgramId): Promise<Result<ProgramHistory, HistoryError>> => {
	for (let attempt = 1; ; attempt++) {
		const flushed = await writer.flush();
		const program = index.programs.get(id);
		if (flushed.isErr() || !program) {
			return err(flushed.isErr() ? flushed.error : {kind: 'unknown-program'});
		}

		const {lastLocation} = program;
		const history = await readProgram(folder, program);
		// A compaction may have moved the program while it was read.
		const hasMoved = index.programs.get(id)?.lastLocation !== lastLocation;
		if (history.isOk() || !hasMoved || attempt === MAX_ATTEMPTS) {
			return history;
		}
	}
};
