/**
Compacts the log by removing its oldest segments. Each program that has entries in
such a segment and is still kept is first copied to the end of the log as one entry.
Segments are removed only from the oldest on, so that the remaining entries of a
program are always a suffix of them and no ended program appears open again.
*/
import {unlink} from 'node:fs/promises';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import {err, ok, type Result} from 'neverthrow';
import type {ProgramIndex} from './program-index.js';
import type {HistoryError} from './history-error.js';
import type {HistoryStore} from './history-store.js';
import {encodeEntry} from './log/encode-entry.js';
import type {LogWriter} from './log/log-writer.js';
import {segmentFiles} from './log/segment-files.js';
import {syncFolder} from './log/sync-folder.js';

// Live entries are copied only if less than this share of the log's bytes is live; otherwise copying costs more than it frees.
const MAX_LIVE_SHARE = 0.5;

type CompactorOptions = {
	readonly folder: string;
	readonly index: ProgramIndex;
	readonly writer: LogWriter;
	readonly readHistory: HistoryStore['readHistory'];
	/** Returns the size of each segment in bytes. */
	readonly segmentBytes: () => ReadonlyMap<number, number>;
	readonly dropSegment: (segment: number) => void;
};

const forgetExpired = (index: ProgramIndex, retentionMs: number): void => {
	for (const [id, {endedAt}] of index.programs) {
		if (endedAt !== undefined && endedAt + retentionMs <= Date.now()) {
			index.forget(id);
		}
	}
};

const sumLiveBytesBySegment = (index: ProgramIndex): Map<number, number> => {
	const live = new Map<number, number>();
	for (const {spans} of index.programs.values()) {
		for (const {segment, bytes} of spans) {
			live.set(segment, (live.get(segment) ?? 0) + bytes);
		}
	}

	return live;
};

const sum = (numbers: Iterable<number>): number => [...numbers].reduce((total, number) => total + number, 0);

const copyForward = async ({index, writer, readHistory}: CompactorOptions, id: ProgramId): Promise<Result<void, HistoryError>> => {
	const history = await readHistory(id);
	const program = index.programs.get(id);
	if (history.isErr() || !program) {
		return history.isErr() && history.error.kind !== 'unknown-program' ? err(history.error) : ok();
	}

	const {header, turns} = history.value;
	if (turns.length !== program.turns || turns.at(-1)?.digest !== (program.turns > 0 ? program.digest : undefined)) {
		// A turn was appended while the history was read; read it again.
		return copyForward({index, writer, readHistory} as CompactorOptions, id);
	}

	const meta = {
		kind: 'copy', program: id, epoch: program.epoch, turns: program.turns, digest: program.digest, endedAt: program.endedAt,
	} as const;
	const {location, done} = writer.append(encodeEntry(meta, {header, turns}));
	index.apply(meta, location);
	return done;
};

const freeSegment = async (options: CompactorOptions, segment: number): Promise<Result<void, HistoryError>> => {
	const {folder, index, dropSegment} = options;
	const programs = [...index.programs].filter(([, {spans}]) => spans.some(span => span.segment === segment));
	for (const [id] of programs) {
		const copied = await copyForward(options, id);
		if (copied.isErr()) {
			return copied;
		}
	}

	try {
		await unlink(segmentFiles.getPath(folder, segment));
		await syncFolder(folder);
	} catch (error) {
		return err({kind: 'io', message: error instanceof Error ? error.message : String(error)});
	}

	dropSegment(segment);
	return ok();
};

/** Creates the `compact` method of a store. Concurrent calls run one after the other. */
export const createCompactor = (options: CompactorOptions): HistoryStore['compact'] => {
	const {index, writer, segmentBytes} = options;

	const freeOldestSegments = async (): Promise<Result<void, HistoryError>> => {
		const oldest = Math.min(...segmentBytes().keys());
		const live = sumLiveBytesBySegment(index);
		const isWorthwhile = !live.has(oldest) || sum(live.values()) < sum(segmentBytes().values()) * MAX_LIVE_SHARE;
		if (oldest >= writer.segment() || !isWorthwhile) {
			return ok();
		}

		const freed = await freeSegment(options, oldest);
		return freed.isErr() ? freed : freeOldestSegments();
	};

	let running: Promise<Result<void, HistoryError>> = Promise.resolve(ok());
	return async retentionMs => {
		const previous = running;
		running = (async () => {
			await previous;
			forgetExpired(index, retentionMs);
			const flushed = await writer.flush();
			return flushed.isErr() ? flushed : freeOldestSegments();
		})();
		return running;
	};
};
