/**
Rebuilds the index from the segment files at startup.
*/
import {open, readFile, unlink} from 'node:fs/promises';
import {err, ok, type Result} from 'neverthrow';
import type {ProgramIndex} from './program-index.js';
import {createProgramIndex} from './create-program-index.js';
import type {HistoryError} from './history-error.js';
import {scanSegment} from './log/scan-segment.js';
import {segmentFiles} from './log/segment-files.js';
import {syncFolder} from './log/sync-folder.js';

/** `segmentBytes` is the size of the valid part of each segment. */
type Recovery = {readonly index: ProgramIndex; readonly nextSegment: number; readonly segmentBytes: ReadonlyMap<number, number>};

const truncateTornTail = async (folder: string, file: string, validBytes: number): Promise<void> => {
	if (validBytes === 0) {
		await unlink(file);
		await syncFolder(folder);
		return;
	}

	const handle = await open(file, 'r+');
	try {
		await handle.truncate(validBytes);
		await handle.sync();
	} finally {
		await handle.close();
	}
};

/** Truncates a torn tail of the last segment. Invalid or inconsistent entries anywhere else fail with `corrupt`. */
export const recoverIndex = async (folder: string): Promise<Result<Recovery, HistoryError>> => {
	const index = createProgramIndex();
	const segmentBytes = new Map<number, number>();
	const segments = await segmentFiles.list(folder);
	for (const segment of segments) {
		const file = segmentFiles.getPath(folder, segment);
		const bytes = await readFile(file);
		const {entries, validBytes, isDamaged} = scanSegment(bytes);
		if (isDamaged || (validBytes < bytes.length && segment !== segments.at(-1))) {
			return err({kind: 'corrupt', file, offset: validBytes});
		}

		const misplaced = entries.find(({meta, offset, length}) => !index.apply(meta, {segment, offset, length}));
		if (misplaced) {
			return err({kind: 'corrupt', file, offset: misplaced.offset});
		}

		if (validBytes === 0 || validBytes < bytes.length) {
			await truncateTornTail(folder, file, validBytes);
		}

		if (validBytes > 0) {
			segmentBytes.set(segment, validBytes);
		}
	}

	return ok({index, nextSegment: (segments.at(-1) ?? 0) + 1, segmentBytes});
};
