/**
Which disks hold copies. The platform's service keeps the list, changed by
compare-and-swap; everything else about copies is decided without it.
*/
import type {Holder} from './holder.js';

/** While `next` is there, each operation needs a quorum of both lists, so that no two versions next to each other can miss one another's writes. */
export type HolderList = {
	readonly version: number;
	readonly current: readonly Holder[];
	readonly next?: readonly Holder[];
};
