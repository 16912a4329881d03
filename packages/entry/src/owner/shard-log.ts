/**
The log of a shard as its owner uses it.
*/
import type {ShardLogItem} from '@siskinhub/core/owner/shard-log-item.js';
import type {ShardLogState} from '@siskinhub/core/owner/shard-log-state.js';
import type {ReplicatedLog} from '@siskinhub/platform/replicated-log.js';

/** An exclusive log of the platform's service. */
export type ShardLog = ReplicatedLog<ShardLogItem, ShardLogState>;
