/**
Names one shard of the programs.
*/
import type {Brand} from '../brand.js';

/** A shard number, from 0 up to the shard count of the deployment. */
export type ShardId = Brand<number, 'ShardId'>;
