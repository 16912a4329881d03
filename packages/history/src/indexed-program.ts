/**
What a holder keeps in memory of one program.
*/
import type {Digest} from '@siskinhub/core/ids/digest.js';
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {Location} from './log/location.js';

/** The texts stay on the disk; entries link backwards from `last`. */
export type IndexedProgram = {
	digest: Digest;
	/** Epoch of the last write. */
	epoch: Epoch;
	turns: number;
	/** Wall-clock time of the end, in milliseconds since the Unix epoch. */
	endedAt?: number;
	last: Location;
	/** Bytes of the program's entries in each segment. */
	spans: Array<{readonly segment: number; bytes: number}>;
};
