/**
A new version of a replica group's list, which is written by compare-and-swap.
*/
import type {GroupId} from './group-id.js';
import type {HolderList} from './holder-list.js';

export type GroupProposal = {readonly group: GroupId; readonly list: HolderList; readonly reason: string};
