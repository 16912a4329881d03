/**
The initial state of a shard's log.
*/
import type {Epoch} from '../ids/epoch.js';
import type {ShardLogState} from './shard-log-state.js';

/** A shard that has never had an owner. */
export const EMPTY_SHARD_LOG_STATE: ShardLogState = {
	epoch: 0 as Epoch, holders: [], sources: [], programs: {},
};
