/**
Where the records of a program are.
*/
import type {GroupId} from '../membership/group-id.js';

/** While a turn of another program is searched for, `group` is another one than the program's own. */
export type QuorumPlace = {readonly program: string; readonly group: GroupId};
