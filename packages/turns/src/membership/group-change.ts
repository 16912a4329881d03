/**
A step in the change of a replica group's list.
*/
import type {Holder} from './holder.js';
import type {HolderList} from './holder-list.js';

/** `propose`: write `list`. `complete`: have the holders in `copying` copy what they lack, then write `list`, whose current holders are the former `next`. */
export type GroupChange =
	| {readonly kind: 'none'}
	| {readonly kind: 'propose'; readonly list: HolderList; readonly reason: string}
	| {readonly kind: 'complete'; readonly copying: readonly Holder[]; readonly list: HolderList};
