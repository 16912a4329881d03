/**
Interface to the list of holders in the platform's service, where it is one key.
*/
import type {HolderList} from '../membership/holder-list.js';

/** `read` returns the newest list that this process knows; `swap` replaces it by compare-and-swap. */
export type HolderRegistry = {
	readonly read: () => HolderList | undefined;
	/** Resolves to whether the swap took effect; `false` also if the platform's service did not answer. */
	readonly swap: (list: HolderList) => Promise<boolean>;
	/** Whether the declared state has been read at all; before that, a missing list does not mean that there is none. */
	readonly isLoaded: () => boolean;
};
