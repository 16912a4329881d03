/**
The state of a shard that nobody has owned yet.
*/
import type {Epoch} from '../ids/epoch.js';
import type {ShardLogState} from './shard-log-state.js';

/** Epoch 0, no owner, nothing on record. */
export const EMPTY_SHARD_LOG_STATE: ShardLogState = {
	epoch: 0 as Epoch, holders: [], sources: [], programs: {},
};
