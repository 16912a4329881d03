/**
Identifies one shard of the programs.
*/
import type {Brand} from '../brand.js';

/** A shard number, from 0 to the deployment's shard count minus 1. */
export type ShardId = Brand<number, 'ShardId'>;
