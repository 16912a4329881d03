/**
Calculates the sizes of write and read quorums.

A write must be on more disks than may be lost at once, and on a majority, so
that any two writes share a holder. A read quorum must overlap every write
quorum.
*/
import {countWriteQuorum} from '@siskinhub/core/owner/count-write-quorum.js';

type Quorum = {readonly write: number; readonly read: number};

/** `losses` is the number of disks that may be lost at once. If there are fewer than `write` holders, nothing can be written. */
export const countQuorum = (holders: number, losses: number): Quorum => {
	const write = Math.max(countWriteQuorum(holders), losses + 1);
	return {write, read: Math.max(holders - write + 1, 1)};
};
