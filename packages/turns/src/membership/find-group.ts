/**
Finds the replica group of a program. It follows from the program's id alone, so
that every process finds the same group without asking another.
*/
import {hashPair} from '@siskinhub/core/ids/hash-pair.js';
import {GROUP_COUNT} from './group-count.js';
import type {GroupId} from './group-id.js';

export const findGroup = (program: string): GroupId => 1 + Math.floor(hashPair('group', program) * GROUP_COUNT) as GroupId;
