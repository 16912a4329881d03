/**
Appends lines to the log of a disk that may be full for a while.

Load pattern: a disk has no room for some seconds while turns keep coming. The
lines that failed are already in the index, so they are written again before
anything is acknowledged on the strength of the index. Between two tries every
append is refused at once, so that the memory does not take what the disk cannot.
*/
import type {HistoryError} from '@siskinhub/history/history-error.js';
import type {LogWriter} from '@siskinhub/history/log/log-writer.js';
import {err, type Result} from 'neverthrow';

/** Time after a failed write until the disk is tried again. */
const RETRY_INTERVAL_MS = 500;

type RecoveringWriterOptions = {
	/** Opens a writer whose first line starts this segment. */
	readonly openWriter: (firstSegment: number) => LogWriter;
	readonly firstSegment: number;
	/** Called with the reason when a writer is given up and another one opened. */
	readonly onRecovering?: (reason: string) => void;
};

type AppendResult = Result<void, HistoryError>;

export const createRecoveringWriter = ({openWriter, firstSegment, onRecovering}: RecoveringWriterOptions) => {
	let writer = openWriter(firstSegment);
	let unwrittenLines: Uint8Array[] = [];
	let failure: {readonly at: number; readonly error: HistoryError} | undefined;

	const appendLine = async (line: Uint8Array): Promise<AppendResult> => {
		const used = writer;
		const done = await used.append(line).done;
		if (done.isErr()) {
			unwrittenLines.push(line);
			if (used === writer) {
				failure ??= {at: performance.now(), error: done.error};
			}
		}

		return done;
	};

	const closeFailed = async (failed: LogWriter): Promise<void> => {
		try {
			await failed.close();
		} catch (error) {
			onRecovering?.(`the segment that failed cannot be closed: ${String(error)}`);
		}
	};

	/** A writer writes nothing more after a failure, so another one starts the next segment. */
	const recover = (): void => {
		if (!failure || performance.now() - failure.at < RETRY_INTERVAL_MS) {
			return;
		}

		onRecovering?.('message' in failure.error ? failure.error.message : failure.error.kind);
		const failed = writer;
		const lines = unwrittenLines;
		unwrittenLines = [];
		failure = undefined;
		writer = openWriter(failed.segment() + 1);
		void closeFailed(failed);
		for (const line of lines) {
			void appendLine(line);
		}
	};

	return {
		/** Returns the error while the disk does not take writes and is not to be tried again yet. */
		findFailure(): HistoryError | undefined {
			recover();
			return failure?.error;
		},
		append: appendLine,
		/** Resolves once all lines that were ever appended have reached the disk. */
		async flush(): Promise<AppendResult> {
			recover();
			return failure ? err(failure.error) : writer.flush();
		},
		segment: () => writer.segment(),
		syncs: () => writer.syncs(),
		async close(): Promise<void> {
			await writer.close();
		},
	};
};
