/**
The versioned list of the disks of one replica group. It is a key of the
platform's service, changed by compare-and-swap; reading and writing copies does
not need that service.
*/
import type {Holder} from '../membership/holder.js';

/** While `next` is set, each operation needs a quorum of both lists, so that operations under two successive versions always see each other's writes. */
export type HolderList = {
	readonly version: number;
	readonly current: readonly Holder[];
	readonly next?: readonly Holder[];
};
