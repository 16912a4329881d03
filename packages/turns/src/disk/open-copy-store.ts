/**
Opens the store of copies of turns and token uses on one disk: a segmented log
of records with group commit, and an in-memory index of all records within
retention.

Records never change and may come in any order, so recovery takes every line
whose checksum matches, also those after a gap that a torn write left. Compaction
writes the retained records to new segments before it removes the old ones; a
crash in between leaves records twice, which is harmless.
*/
import {mkdir, readFile, unlink} from 'node:fs/promises';
import {create} from '@bufbuild/protobuf';
import type {HistoryError} from '@siskinhub/history/history-error.js';
import {openLogWriter} from '@siskinhub/history/log/open-log-writer.js';
import {segmentFiles} from '@siskinhub/history/log/segment-files.js';
import {syncFolder} from '@siskinhub/history/log/sync-folder.js';
import {RecordSchema, type Record as WireRecord} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {err, ok, type Result} from 'neverthrow';
import type {CopyStore} from './copy-store.js';
import {createRecoveringWriter} from './create-recovering-writer.js';
import {createGroupIndexes} from './create-group-indexes.js';
import {recordCodec} from './record-codec.js';
import {readDiskId} from './read-disk-id.js';

const DEFAULT_SEGMENT_BYTES = 16 * 1024 * 1024;
const LINE_BREAK = 0x0A;
/** Records that a compaction encodes and writes at a time, so that it takes little memory beside the index. */
const REWRITE_BATCH_BYTES = 1024 * 1024;

type CopyStoreOptions = {
	readonly segmentBytes?: number;
	/** Called with the reason when the disk did not take a write and is tried again. */
	readonly onRecovering?: (reason: string) => void;
};

const describeError = (error: HistoryError): string => 'message' in error ? error.message : error.kind;

const toMessage = (error: unknown): string => error instanceof Error ? error.message : String(error);

/** Decodes every intact line and skips what torn writes left in between. */
const decodeRecords = (bytes: Uint8Array): readonly WireRecord[] => {
	const records: WireRecord[] = [];
	let offset = 0;
	for (let end = bytes.indexOf(LINE_BREAK); end !== -1; end = bytes.indexOf(LINE_BREAK, offset)) {
		const record = recordCodec.decode(bytes.subarray(offset, end));
		offset = end + 1;
		if (record) {
			records.push(record);
		}
	}

	return records;
};

const recover = async (folder: string) => {
	await mkdir(folder, {recursive: true});
	const {diskId, isNew} = await readDiskId(folder);
	const segments = await segmentFiles.list(folder);
	const indexes = createGroupIndexes();
	let bytes = 0;
	for (const segment of segments) {
		const content = await readFile(segmentFiles.getPath(folder, segment));
		bytes += content.length;
		for (const record of decodeRecords(content)) {
			indexes.add(record);
		}
	}

	indexes.forgetExpired(Date.now());
	return {
		diskId, isNew, segments, indexes, bytes,
	};
};

/** No other process may have `folder` open. Fails if the disk cannot be read or written. */
export const openCopyStore = async (folder: string, {segmentBytes = DEFAULT_SEGMENT_BYTES, onRecovering}: CopyStoreOptions = {}): Promise<Result<CopyStore, string>> => {
	try {
		const recovered = await recover(folder);
		const {diskId, isNew, indexes} = recovered;
		let {segments: oldSegments, bytes} = recovered;
		let added = 0;
		const openWriter = (start: number) => createRecoveringWriter({
			firstSegment: start, onRecovering, openWriter: firstSegment => openLogWriter({
				folder, firstSegment, segmentBytes, encodeSegmentHeader: () => [], onQueued(_segment, length) {
					bytes += length;
				},
			}),
		});
		// Resolves once the records that were queued before the last compaction are on the disk.
		let closingOldWriter: Promise<void> = Promise.resolve();
		let writer = openWriter((oldSegments.at(-1) ?? 0) + 1);

		const append = async (line: Uint8Array): Promise<Result<void, string>> => {
			const done = await writer.append(line);
			return done.mapErr(describeError);
		};

		const write = async (record: WireRecord): Promise<Result<void, string>> => append(recordCodec.encode(record));

		const writeInBatches = async (records: readonly WireRecord[]): Promise<Result<void, string>> => {
			let last: Promise<Result<void, string>> | undefined;
			let batchBytes = 0;
			for (const record of records) {
				const line = recordCodec.encode(record);
				batchBytes += line.length;
				last = append(line);
				if (batchBytes >= REWRITE_BATCH_BYTES) {
					const written = await last;
					if (written.isErr()) {
						return written;
					}

					batchBytes = 0;
				}
			}

			return last ?? ok();
		};

		/** Switches to a new writer first, so that records added during the rewrite go to new segments and none is missed. */
		const rewriteLog = async (): Promise<Result<void, string>> => {
			const old = writer;
			oldSegments = await segmentFiles.list(folder);
			writer = openWriter(Math.max(old.segment(), oldSegments.at(-1) ?? 0) + 1);
			bytes = 0;
			closingOldWriter = old.close();
			await closingOldWriter;
			const segments = await segmentFiles.list(folder);
			oldSegments = segments.filter(segment => segment <= old.segment());
			const written = await writeInBatches(indexes.records());
			if (written.isErr()) {
				return written;
			}

			for (const segment of oldSegments) {
				await unlink(segmentFiles.getPath(folder, segment));
			}

			await syncFolder(folder);
			return ok();
		};

		return ok({
			diskId,
			isNew,
			getIndex: indexes.get,
			async add(group, fact) {
				const failure = writer.findFailure();
				if (failure) {
					return err(describeError(failure));
				}

				const record = create(RecordSchema, {group, fact});
				if (indexes.add(record)) {
					added++;
					return write(record);
				}

				await closingOldWriter;
				const flushed = await writer.flush();
				return flushed.mapErr(describeError);
			},
			async compact() {
				indexes.forgetExpired(Date.now());
				try {
					return await rewriteLog();
				} catch (error) {
					return err(toMessage(error));
				}
			},
			size: indexes.size,
			bytes: () => bytes,
			added: () => added,
			syncs: () => writer.syncs(),
			async close() {
				await writer.close();
			},
		});
	} catch (error) {
		return err(toMessage(error));
	}
};
