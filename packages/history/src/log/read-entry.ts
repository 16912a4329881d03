/**
Reads one log entry from the disk.
*/
import {Buffer} from 'node:buffer';
import {open, type FileHandle} from 'node:fs/promises';
import {err, ok, type Result} from 'neverthrow';
import type {HistoryError} from '../history-error.js';
import {decodeEntry} from './decode-entry.js';
import type {EntryMeta} from './entry-meta.js';
import type {EntryLocation} from './entry-location.js';
import {segmentFiles} from './segment-files.js';

/** Fails with `corrupt` if the line does not match its checksum, and with `io` if it cannot be read. */
export const readEntry = async (folder: string, location: EntryLocation): Promise<Result<NonNullable<ReturnType<typeof decodeEntry<EntryMeta>>>, HistoryError>> => {
	const file = segmentFiles.getPath(folder, location.segment);
	let handle: FileHandle | undefined;
	try {
		handle = await open(file, 'r');
		const line = Buffer.alloc(location.length);
		await handle.read(line, 0, location.length, location.offset);
		const entry = decodeEntry(line);
		return entry ? ok(entry) : err({kind: 'corrupt', file, offset: location.offset});
	} catch (error) {
		return err({kind: 'io', message: error instanceof Error ? error.message : String(error)});
	} finally {
		await handle?.close();
	}
};
