/**
The parts of an entry that its HTTP routes use.
*/
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {Random} from '@siskinhub/core/decide/random.js';
import type {Logger} from '@siskinhub/observe/logger.js';
import type {ResolvedEntryConfig} from '@siskinhub/settings/resolved-entry-config.js';
import type {CallRunner} from '../calls/call-runner.js';
import type {SidecarDirectory} from '../directory/sidecar-directory.js';
import type {HistoryClient} from '../history/history-client.js';
import type {OwnerRouter} from '../owner/owner-router.js';
import type {Ownership} from '../ownership/ownership.js';

export type RouteContext = {
	readonly cfg: ResolvedEntryConfig;
	readonly instance: string;
	readonly router: OwnerRouter;
	readonly calls: CallRunner;
	readonly histories: HistoryClient;
	readonly upstreams: SidecarDirectory;
	readonly ownership: Ownership;
	readonly random: Random;
	readonly createId: () => string;
	/** Returns undefined for a string that is not a program id of this deployment. */
	readonly getProgramShard: (program: ProgramId) => ShardId | undefined;
	readonly isLeaving: () => boolean;
	readonly drainUpstream: (sidecarAddress: string) => Promise<boolean>;
	readonly version: string;
	readonly tableRevision: () => number;
	readonly log: Logger;
};
