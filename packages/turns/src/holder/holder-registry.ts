/**
Where the list of holders is kept: a key of the platform's service.
*/
import type {HolderList} from '../holders/holder-list.js';

/** `read` gives the newest list that is known here; `swap` replaces exactly that one. */
export type HolderRegistry = {
	readonly read: () => HolderList | undefined;
	/** Whether the swap took effect; `false` also where nobody answered. */
	readonly swap: (list: HolderList) => Promise<boolean>;
	/** Whether the declared state was read at all, so that "no list" is known and not assumed. */
	readonly isKnown: () => boolean;
};
