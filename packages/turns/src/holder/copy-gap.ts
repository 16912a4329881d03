/**
What a disk lacked of the data in use when it was written to.
*/
import type {GroupId} from '../membership/group-id.js';

export type CopyGap = {
	readonly group: GroupId;
	/** `chain`: turns before the one that was to be stored. */
	readonly data: 'chain';
	/** Id of the turn that was to be stored. */
	readonly writeOf: string;
	/** Id of the newest turn that was missing. */
	readonly missing: string;
};
