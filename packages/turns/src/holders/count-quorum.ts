/**
How many holders must answer.

A write must stand on more disks than may be lost at once and on a majority, so
that two writers have a holder in common. A read must meet every write.
*/
import {countWriteQuorum} from '@siskinhub/core/owner/count-write-quorum.js';

type Quorum = {readonly write: number; readonly read: number};

/** `losses` is the number of disks that may be lost at once. With fewer holders than `write`, nothing can be written. */
export const countQuorum = (holders: number, losses: number): Quorum => {
	const write = Math.max(countWriteQuorum(holders), losses + 1);
	return {write, read: Math.max(holders - write + 1, 1)};
};
