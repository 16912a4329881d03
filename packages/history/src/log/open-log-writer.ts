/**
Appends lines to segment files with group commit: lines appended during an fsync
share the next one.

Expected load: hundreds of small writes a second, each of which the kernel takes into
its memory at once. To hand them to another thread costs more than to do them, so only
the fsync, which waits for the disk, is done there.
*/
import {Buffer} from 'node:buffer';
import {writeSync} from 'node:fs';
import {open, type FileHandle} from 'node:fs/promises';
import {err, ok, type Result} from 'neverthrow';
import type {HistoryError} from '../history-error.js';
import type {EntryLocation} from './entry-location.js';
import type {LogWriter} from './log-writer.js';
import {segmentFiles} from './segment-files.js';
import {syncFolder} from './sync-folder.js';

type Chunk = {readonly segment: number; readonly bytes: Uint8Array};

const writeAll = (fd: number, bytes: Uint8Array): void => {
	for (let written = 0; written < bytes.length;) {
		written += writeSync(fd, bytes, written);
	}
};

/** Opens a writer whose first line starts the segment `firstSegment`. After a failed write nothing more is written and every append fails. */
export const openLogWriter = (options: {
	readonly folder: string;
	readonly firstSegment: number;
	/** A line is appended to a new segment once the current one has reached this size. */
	readonly segmentBytes: number;
	/** Returns the lines at the start of every new segment. */
	readonly encodeSegmentHeader: () => readonly Uint8Array[];
	/** Called for every line when it is queued, before it is written. `length` is in bytes and includes the line break. */
	readonly onQueued?: (segment: number, length: number) => void;
}): LogWriter => {
	const {folder, segmentBytes, encodeSegmentHeader, onQueued} = options;
	let segment = options.firstSegment - 1;
	let offset = Infinity;
	let queue: Chunk[] = [];
	let nextCycle: Promise<Result<void, HistoryError>> | undefined;
	let currentCycle: Promise<unknown> = Promise.resolve();
	let failure: HistoryError | undefined;
	let file: {readonly segment: number; readonly handle: FileHandle} | undefined;
	let syncs = 0;

	const closeFile = async (): Promise<void> => {
		await file?.handle.datasync();
		await file?.handle.close();
		file = undefined;
	};

	const openSegment = async (number: number): Promise<FileHandle> => {
		if (file?.segment !== number) {
			await closeFile();
			file = {segment: number, handle: await open(segmentFiles.getPath(folder, number), 'ax')};
			await syncFolder(folder);
		}

		return file.handle;
	};

	const writeQueue = async (): Promise<void> => {
		const chunks = queue;
		queue = [];
		for (const number of new Set(chunks.map(chunk => chunk.segment))) {
			const handle = await openSegment(number);
			const bytes = Buffer.concat(chunks.filter(chunk => chunk.segment === number).map(chunk => chunk.bytes));
			writeAll(handle.fd, bytes);
		}

		syncs++;
		await file?.handle.datasync();
	};

	const runCycle = async (previous: Promise<unknown>): Promise<Result<void, HistoryError>> => {
		await previous;
		nextCycle = undefined;
		try {
			if (!failure) {
				await writeQueue();
			}
		} catch (error) {
			failure = {kind: 'io', message: error instanceof Error ? error.message : String(error)};
		}

		return failure ? err(failure) : ok();
	};

	const flush = async (): Promise<Result<void, HistoryError>> => {
		if (!nextCycle) {
			nextCycle = runCycle(currentCycle);
			currentCycle = nextCycle;
		}

		return nextCycle;
	};

	const enqueue = (line: Uint8Array): EntryLocation => {
		const location = {segment, offset, length: line.length - 1};
		queue.push({segment, bytes: line});
		offset += line.length;
		onQueued?.(segment, line.length);
		return location;
	};

	const startSegment = (): void => {
		segment++;
		offset = 0;
		for (const line of encodeSegmentHeader()) {
			enqueue(line);
		}
	};

	return {
		append(line) {
			if (offset >= segmentBytes) {
				startSegment();
			}

			return {location: enqueue(line), done: flush()};
		},
		flush,
		segment: () => segment,
		syncs: () => syncs,
		async close() {
			await flush();
			await closeFile();
		},
	};
};
