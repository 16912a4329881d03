/**
Decodes the entries of a segment from its start and distinguishes a torn tail, which
a crash leaves, from damage.
*/
import type {EntryMeta} from './entry-meta.js';
import {decodeEntry} from './decode-entry.js';

const LINE_BREAK = 0x0A;

/** The valid entries before the first invalid line, their size, and whether a valid entry follows that line. */
type SegmentScan = {
	readonly entries: ReadonlyArray<{readonly meta: EntryMeta; readonly offset: number; readonly length: number}>;
	readonly validBytes: number;
	readonly isDamaged: boolean;
};

const hasValidLineAfter = (bytes: Uint8Array, from: number): boolean => {
	let offset = from;
	for (let end = bytes.indexOf(LINE_BREAK, offset); end !== -1; end = bytes.indexOf(LINE_BREAK, offset)) {
		if (decodeEntry(bytes.subarray(offset, end))) {
			return true;
		}

		offset = end + 1;
	}

	return false;
};

/** A crash leaves invalid bytes only after the last valid entry; a valid entry after them shows damage. */
export const scanSegment = (bytes: Uint8Array): SegmentScan => {
	const entries: Array<SegmentScan['entries'][number]> = [];
	let offset = 0;
	for (;;) {
		const end = bytes.indexOf(LINE_BREAK, offset);
		const entry = end === -1 ? undefined : decodeEntry(bytes.subarray(offset, end));
		if (!entry) {
			return {entries, validBytes: offset, isDamaged: end !== -1 && hasValidLineAfter(bytes, end + 1)};
		}

		entries.push({meta: entry.meta, offset, length: end - offset});
		offset = end + 1;
	}
};
