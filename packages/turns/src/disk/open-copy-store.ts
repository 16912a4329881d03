/**
Copies of turns and token uses on one disk: a log of facts in segments with
group commit, and all facts within retention in memory.

Facts never change and come in any order, so recovery takes every line whose
checksum holds, wherever a torn write left a gap. Each start writes what is
still wanted to a new segment before the old ones are removed; a crash between
the two leaves facts twice, which is harmless.
*/
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {
	mkdir, open, readFile, rename, unlink,
} from 'node:fs/promises';
import path from 'node:path';
import {
	create, fromBinary, toBinary,
} from '@bufbuild/protobuf';
import {decodeEntry} from '@siskinhub/history/log/decode-entry.js';
import {encodeEntry} from '@siskinhub/history/log/encode-entry.js';
import {openLogWriter} from '@siskinhub/history/log/open-log-writer.js';
import {segmentFiles} from '@siskinhub/history/log/segment-files.js';
import {syncFolder} from '@siskinhub/history/log/sync-folder.js';
import {RecordSchema, type Record as WireRecord} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {err, ok, type Result} from 'neverthrow';
import {createCopyIndex} from './create-copy-index.js';
import type {CopyStore} from './copy-store.js';

const SEGMENT_BYTES = 64 * 1024 * 1024;
const DISK_ID_FILE = 'disk-id';
const LINE_BREAK = 0x0A;

type LineMeta = {readonly kind: 'fact'};

const encodeRecord = (record: WireRecord): Uint8Array =>
	encodeEntry({kind: 'fact'} satisfies LineMeta, Buffer.from(toBinary(RecordSchema, record)).toString('base64'));

/** Every readable line; what a torn write left between them is passed over. */
const readRecords = (bytes: Uint8Array): readonly WireRecord[] => {
	const records: WireRecord[] = [];
	let offset = 0;
	for (let end = bytes.indexOf(LINE_BREAK); end !== -1; end = bytes.indexOf(LINE_BREAK, offset)) {
		const entry = decodeEntry<LineMeta>(bytes.subarray(offset, end));
		offset = end + 1;
		if (entry) {
			records.push(fromBinary(RecordSchema, Buffer.from(entry.readBody() as string, 'base64')));
		}
	}

	return records;
};

/** The id is written before anything else is, so a folder without one is an empty disk. */
const readDiskId = async (folder: string): Promise<{readonly diskId: string; readonly isNew: boolean}> => {
	const file = path.join(folder, DISK_ID_FILE);
	try {
		const diskId = await readFile(file, 'utf8');
		if (diskId.length > 0) {
			return {diskId, isNew: false};
		}
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code !== 'ENOENT') {
			throw error;
		}
	}

	const diskId = randomUUID();
	const temporary = `${file}.new`;
	const handle = await open(temporary, 'w');
	try {
		await handle.writeFile(diskId);
		await handle.sync();
	} finally {
		await handle.close();
	}

	await rename(temporary, file);
	await syncFolder(folder);
	return {diskId, isNew: true};
};

const recover = async (folder: string) => {
	await mkdir(folder, {recursive: true});
	const {diskId, isNew} = await readDiskId(folder);
	const segments = await segmentFiles.list(folder);
	const index = createCopyIndex();
	for (const segment of segments) {
		const bytes = await readFile(segmentFiles.pathOf(folder, segment));
		for (const record of readRecords(bytes)) {
			index.add(record);
		}
	}

	return {
		diskId, isNew, segments, index,
	};
};

/** Opens the folder, which no other process may have open. Fails if the disk cannot be read or written. */
export const openCopyStore = async (folder: string): Promise<Result<CopyStore, string>> => {
	try {
		const {diskId, isNew, segments, index} = await recover(folder);
		const writer = openLogWriter({
			folder, firstSegment: (segments.at(-1) ?? 0) + 1, segmentBytes: SEGMENT_BYTES, beginSegment: () => [],
		});
		const write = async (record: WireRecord): Promise<Result<void, string>> => {
			const done = await writer.append(encodeRecord(record)).done;
			return done.mapErr(error => 'message' in error ? error.message : error.kind);
		};

		index.forgetExpired(Date.now());
		const rewritten = await Promise.all(index.records().map(async record => write(record)));
		const failed = rewritten.find(result => result.isErr());
		if (failed?.isErr()) {
			return err(failed.error);
		}

		for (const segment of segments) {
			await unlink(segmentFiles.pathOf(folder, segment));
		}

		await syncFolder(folder);
		return ok({
			diskId,
			isNew,
			index,
			async add(fact) {
				const record = create(RecordSchema, {fact});
				if (index.add(record)) {
					return write(record);
				}

				const flushed = await writer.flush();
				return flushed.mapErr(error => 'message' in error ? error.message : error.kind);
			},
			syncs: () => writer.syncs(),
			async close() {
				await writer.close();
			},
		});
	} catch (error) {
		return err(error instanceof Error ? error.message : String(error));
	}
};
