/**
The services that forwarding a request depends on.
*/
import type {HolderClient} from '@siskinhub/turns/client/holder-client.js';
import type {CallCodec} from '../call/call-codec.js';
import type {GatewayMetrics} from '../metrics/gateway-metrics.js';
import type {LimitGate} from '../limits/limit-gate.js';
import type {QuotaGate} from '../quotas/quota-gate.js';
import type {LoadTracker} from '../placement/load-tracker.js';
import type {RouteTable} from '../routes/route-table.js';
import type {UpstreamDirectory} from '../upstreams/upstream-directory.js';
import type {CallerDirectory} from '../workspaces/caller-directory.js';
import type {createCrashLog} from '../crashes/create-crash-log.js';
import type {createCrashWatch} from '../crashes/create-crash-watch.js';
import type {CrashTracker} from '../crashes/crash-tracker.js';
import type {Upstream} from '../upstreams/upstream.js';
import type {AnswerMemory} from './answer-memory.js';
import type {CallLog} from './call-log.js';
import type {UpstreamPools} from './upstream-pools.js';

/** Shared by all requests of the process. */
export type GatewayContext = {
	readonly codec: CallCodec;
	readonly routes: RouteTable;
	readonly callers: CallerDirectory;
	readonly directory: UpstreamDirectory;
	readonly loads: LoadTracker;
	readonly limits: LimitGate;
	readonly quotas: Pick<QuotaGate, 'acquire' | 'giveBack'>;
	readonly pools: UpstreamPools;
	readonly holderClient: HolderClient;
	/** For parts of answers that cannot be passed on yet. */
	readonly memory: AnswerMemory;
	readonly crashes: CrashTracker;
	readonly crashWatch: Pick<ReturnType<typeof createCrashWatch>, 'recordLost' | 'recordUnanswered'>;
	readonly crashLog: Pick<ReturnType<typeof createCrashLog>, 'recordBlock'>;
	readonly metrics: GatewayMetrics;
	readonly calls: CallLog;
	/** Called once with each start of an upstream that says in an answer that it is leaving. */
	readonly onLeaving: (upstream: Upstream) => void;
	/** Uniformly distributed in [0, 1). */
	readonly random: () => number;
};
