/**
Reads the shard from a program id.
*/
import type {ProgramId} from './program-id.js';
import type {ShardId} from './shard-id.js';

const PROGRAM_ID_PATTERN = /^p(0|[1-9]\d{0,4})-[\w\-]{1,64}$/v;

/** Returns the shard that owns the program, or `undefined` if the text is no program id of a deployment with `shardCount` shards. */
export const shardOfProgram = (program: ProgramId, shardCount: number): ShardId | undefined => {
	const match = PROGRAM_ID_PATTERN.exec(program);
	if (!match) {
		return undefined;
	}

	const shard = Number(match[1]);
	return shard < shardCount ? shard as ShardId : undefined;
};
