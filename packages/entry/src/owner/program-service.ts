/**
What an owner answers about programs as a whole.
*/
import type {ShardOwner} from './shard-owner.js';

/** The part of an owner that starts, shows, restores and ends programs. */
export type ProgramService = Pick<ShardOwner, 'startProgram' | 'getProgram' | 'endProgram' | 'restore' | 'listAlive' | 'enforceTimeLimits'>;
