/**
Opens the history store in a data folder. It consists of one append-only log in
segments, shared by all shards so that one fsync serves all of them, and an
in-memory index without input or output texts.
*/
import {mkdir} from 'node:fs/promises';
import {err, ok, type Result} from 'neverthrow';
import {createCompactor} from './create-compactor.js';
import type {ProgramIndex} from './program-index.js';
import {createHistoryReader} from './create-history-reader.js';
import {createWriteOperations} from './create-write-operations.js';
import type {HistoryError} from './history-error.js';
import type {HistoryStore} from './history-store.js';
import {encodeEntry} from './log/encode-entry.js';
import {openLogWriter} from './log/open-log-writer.js';
import {recoverIndex} from './recover-index.js';

const DEFAULT_SEGMENT_BYTES = 16 * 1024 * 1024;

/** Every segment repeats the fences, so that removing older segments keeps them. */
const encodeSegmentHeader = (index: ProgramIndex): Uint8Array[] => [
	encodeEntry({kind: 'segment', version: 1}),
	...Array.from(index.fences, ([shard, epoch]) => encodeEntry({kind: 'fence', shard, epoch})),
];

const recover = async (folder: string): ReturnType<typeof recoverIndex> => {
	try {
		await mkdir(folder, {recursive: true});
		return await recoverIndex(folder);
	} catch (error) {
		return err({kind: 'io', message: error instanceof Error ? error.message : String(error)});
	}
};

/** Only one store may be open on a folder. Fails with `corrupt` if a file is damaged; the folder is then unusable as a copy. */
export const openHistoryStore = async (folder: string, options: {readonly segmentBytes?: number} = {}): Promise<Result<HistoryStore, HistoryError>> => {
	const recovered = await recover(folder);
	if (recovered.isErr()) {
		return err(recovered.error);
	}

	const {index, nextSegment, segmentBytes} = recovered.value;
	const maxSegmentBytes = options.segmentBytes ?? DEFAULT_SEGMENT_BYTES;
	const bytes = new Map(segmentBytes);
	const writer = openLogWriter({
		folder, firstSegment: nextSegment, segmentBytes: maxSegmentBytes, encodeSegmentHeader: () => encodeSegmentHeader(index), onQueued(segment, length) {
			bytes.set(segment, (bytes.get(segment) ?? 0) + length);
		},
	});
	const readHistory = createHistoryReader(folder, index, writer);
	return ok({
		...createWriteOperations(index, writer, readHistory),
		readHistory,
		listPrograms: shard => [...index.programs]
			.filter(([program]) => program.startsWith(`p${shard}-`))
			.map(([program, {digest, turns, endedAt}]) => ({
				program, digest, turns, ended: endedAt !== undefined,
			})),
		compact: createCompactor({
			folder, index, writer, readHistory, segmentBytes: () => bytes, dropSegment: segment => bytes.delete(segment),
		}),
		close: writer.close,
	});
};
