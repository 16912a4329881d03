/**
In-memory state of one program in a history store.
*/
import type {Digest} from '@siskinhub/core/ids/digest.js';
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {EntryLocation} from './log/entry-location.js';

/** The texts stay on the disk and are read by following the links backwards from `lastLocation`. */
export type IndexedProgram = {
	digest: Digest;
	/** Epoch of the last write. */
	epoch: Epoch;
	turns: number;
	/** Wall-clock time of the end, in milliseconds since the Unix epoch. */
	endedAt?: number;
	/** Location of the program's newest log entry. */
	lastLocation: EntryLocation;
	/** Size of the program's entries in each segment, oldest first. */
	spans: Array<{readonly segment: number; bytes: number}>;
};
