/**
Takes a shard over: fences the earlier owner first in the shard's log, then at the
history holders. Only after both may the new owner decide anything.
*/
import {err, ok, type Result} from 'neverthrow';
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {HostId} from '@siskinhub/core/ids/host-id.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import {EMPTY_SHARD_LOG_STATE} from '@siskinhub/core/owner/empty-shard-log-state.js';
import {foldShardLog} from '@siskinhub/core/owner/fold-shard-log.js';
import type {HistoryHolder} from '@siskinhub/core/owner/history-holder.js';
import type {ShardLogItem} from '@siskinhub/core/owner/shard-log-item.js';
import type {ShardLogState} from '@siskinhub/core/owner/shard-log-state.js';
import {openLog} from '@siskinhub/platform/open-log.js';
import type {PlatformClient} from '@siskinhub/platform/platform-client.js';
import type {HistoryClient} from '../history/history-client.js';
import type {ShardLog} from '../owner/shard-log.js';
import {updateHolderSets} from './update-holder-sets.js';

type TakeoverOptions = {
	readonly shard: ShardId;
	readonly platform: PlatformClient;
	readonly histories: HistoryClient;
	readonly host: HostId;
	readonly instance: string;
	readonly peerAddress: string;
	readonly createId: () => string;
	readonly commitWindowMs: number;
	/** Returns the reachable holders in order of preference. */
	readonly findHolders: () => Promise<readonly HistoryHolder[]>;
	/** Whether the owner that the log names still holds its lease. */
	readonly isAlive: (owner: NonNullable<ShardLogState['owner']>) => boolean;
};

type Takeover = {
	readonly shardLog: ShardLog;
	readonly epoch: Epoch;
	readonly holders: readonly HistoryHolder[];
	readonly sources: ReadonlyArray<readonly HistoryHolder[]>;
};

/** Fails with a message for the log if the shard is owned, the platform is down, or too few holders answer. */
export const takeOverShard = async (options: TakeoverOptions): Promise<Result<Takeover, string>> => {
	const {shard, platform, histories, host, instance, peerAddress, createId, commitWindowMs} = options;
	const opened = await openLog<ShardLogItem, ShardLogState>({
		client: platform,
		log: `shard-${shard}`,
		// A new name for each takeover, so that this process also fences its own earlier epochs.
		writer: `${host}/${instance}/${createId()}`,
		createCommitId: createId,
		mode: 'exclusive',
		initialState: EMPTY_SHARD_LOG_STATE,
		fold: foldShardLog,
		commitWindowMs,
	});
	if (opened.isErr()) {
		return err(opened.error.message);
	}

	const shardLog = opened.value;
	const before = shardLog.state();
	if (before.owner && before.owner.instance !== instance && options.isAlive(before.owner)) {
		shardLog.close();
		return err(`${before.owner.host} owns the shard and its lease is valid`);
	}

	const available = await options.findHolders();
	if (available.length === 0) {
		shardLog.close();
		return err('no entry host with a data folder can be reached');
	}

	const {holders, sources} = updateHolderSets(before, available);
	const epoch = (before.epoch + 1) as Epoch;
	const appended = await shardLog.append({
		kind: 'take-over', owner: host, instance, peerAddress, epoch, holders, sources,
	});
	if (appended.isErr()) {
		shardLog.close();
		return err(`the takeover was not recorded: ${appended.error.kind}`);
	}

	for (const group of [holders, ...sources]) {
		const fenced = await histories.fence({shard, epoch, holders: group});
		if (fenced.isErr()) {
			shardLog.close();
			return err(fenced.error.message);
		}
	}

	return ok({
		shardLog, epoch, holders, sources,
	});
};
