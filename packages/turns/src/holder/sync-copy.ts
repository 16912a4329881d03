/**
Type of the function that copies to this host's disk what a group's current
holders have.
*/
import type {GroupId} from '../membership/group-id.js';

/** Resolves to whether all of it is on this disk; nothing is copied if this disk has another version of the group's list. */
export type SyncCopy = (group: GroupId, listVersion: number) => Promise<boolean>;
