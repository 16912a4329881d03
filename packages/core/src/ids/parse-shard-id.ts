/**
Parses the shard number from a program id.
*/
import type {ProgramId} from './program-id.js';
import type {ShardId} from './shard-id.js';

const PROGRAM_ID_PATTERN = /^p(0|[1-9]\d{0,4})-[\w\-]{1,64}$/v;

/** Returns the shard that owns the program, or `undefined` if `program` is not a valid program id in a deployment with `shardCount` shards. */
export const parseShardId = (program: ProgramId, shardCount: number): ShardId | undefined => {
	const match = PROGRAM_ID_PATTERN.exec(program);
	if (!match) {
		return undefined;
	}

	const shard = Number(match[1]);
	return shard < shardCount ? shard as ShardId : undefined;
};
