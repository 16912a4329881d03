/**
The part of a shard's owner that starts, shows, restores and ends programs.
*/
import type {ShardOwner} from './shard-owner.js';

export type ProgramService = Pick<ShardOwner, 'startProgram' | 'getProgram' | 'endProgram' | 'restore' | 'listAlive' | 'enforceTimeLimits'>;
