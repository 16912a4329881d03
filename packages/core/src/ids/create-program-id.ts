/**
Creates program ids, which contain the number of the shard that owns the program.
*/
import type {ProgramId} from './program-id.js';
import type {ShardId} from './shard-id.js';

/** Joins the shard number and a random part that the caller of this function generates: 1 to 64 letters, digits, hyphens and underscores. */
export const createProgramId = (shard: ShardId, random: string): ProgramId => `p${shard}-${random}` as ProgramId;
