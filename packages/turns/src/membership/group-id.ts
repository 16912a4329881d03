/**
Identifies one replica group: the disks that store the turns and token uses of a
part of the programs.
*/
import type {Brand} from '@siskinhub/core/brand.js';

/** A number from 1 to `GROUP_COUNT`. 0 marks records written before there were groups. */
export type GroupId = Brand<number, 'GroupId'>;
