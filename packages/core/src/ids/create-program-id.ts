/**
Builds program ids, which name the shard that owns the program.
*/
import type {ProgramId} from './program-id.js';
import type {ShardId} from './shard-id.js';

/** Joins the shard's number and a random part that the caller of this function draws. */
export const createProgramId = (shard: ShardId, random: string): ProgramId => `p${shard}-${random}` as ProgramId;
