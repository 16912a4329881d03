/**
What a disk lacked of the data in use when it was written to.
*/
import type {GroupId} from '../membership/group-id.js';

export type CopyGap = {
	readonly group: GroupId;
	/** `chain`: turns before the one that was to be stored. `uses`: what the attempts of its program had used. */
	readonly data: 'chain' | 'uses';
	/** Id of the turn or attempt that was to be stored. */
	readonly writeOf: string;
	/** Id of one turn or attempt that was missing. */
	readonly missing: string;
};
