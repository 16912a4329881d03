/**
Adds gauges for the state of a gateway to its metrics.
*/
import type {DeclaredView} from '@siskinhub/declared/declared-view.js';
import type {HolderRegistry} from '@siskinhub/turns/holder/holder-registry.js';
import {listGroups} from '@siskinhub/turns/membership/list-groups.js';
import type {HolderClient} from '@siskinhub/turns/client/holder-client.js';
import type {createLoopMonitor} from '../admission/create-loop-monitor.js';
import type {AnswerMemory} from '../forward/answer-memory.js';
import type {upstreamReads} from '../forward/upstream-reads.js';
import type {GatewayMetrics} from '../metrics/gateway-metrics.js';
import type {RouteTable} from '../routes/route-table.js';

type GatewayState = {
	readonly routes: RouteTable;
	readonly view: DeclaredView;
	readonly holderClient: HolderClient;
	readonly registry: Pick<HolderRegistry, 'readList' | 'listDisks'>;
	readonly memory: Pick<AnswerMemory, 'heldBytes'>;
	readonly countActive: () => number;
	readonly countConnections: () => number;
	/** Connections of callers that were closed so far, by reason. */
	readonly countClosed: () => Readonly<Record<string, number>>;
	/** Bytes of callers that are not parsed yet. */
	readonly unparsedBytes: () => number;
	/** Bytes that callers' requests take. */
	readonly heldBytes: () => number;
	readonly loop: Pick<ReturnType<typeof createLoopMonitor>, 'read'>;
	readonly reads: typeof upstreamReads;
	/** When the platform's service last answered, by `performance.now()`. */
	readonly lastReadAt: () => number;
};

const MS_PER_S = 1000;

/** The gauges read the state each time the metrics are collected. */
export const registerGatewayGauges = ({addGauge, addCounter}: GatewayMetrics, {routes, view, holderClient, registry, loop, memory, countActive, countConnections, countClosed, unparsedBytes, heldBytes, reads, lastReadAt}: GatewayState): void => {
	addGauge('siskinhub_routes_version', 'Version of the declared routes in force; 0 before the first.', () => routes.current()?.version ?? 0);
	addGauge('siskinhub_declared_revision', 'Revision of the platform\'s service up to which this process knows the declared state.', view.revision);
	addGauge('siskinhub_declared_age_seconds', 'Seconds since the platform\'s service last told the declared state.', () => (performance.now() - lastReadAt()) / MS_PER_S);
	addGauge('siskinhub_groups', 'Replica groups that have a list of copy holders.', () => listGroups().filter(group => registry.readList(group)).length);
	addGauge('siskinhub_groups_changing', 'Replica groups whose list of copy holders is changing.', () => listGroups().filter(group => registry.readList(group)?.next).length);
	addGauge('siskinhub_holders', 'Registered disks of copy holders.', () => registry.listDisks().length);
	addGauge('siskinhub_holders_enough', '1 while enough holders answer for turns to be kept, else 0.', () => holderClient.isReady() ? 1 : 0);
	addGauge('siskinhub_queue_seconds', 'Recent time until data that has arrived is handled.', () => loop.read().queueMs / MS_PER_S);
	addGauge('siskinhub_loop_utilization', 'Recent share of the time in which the event loop was busy; first calls of programs are refused while it is high.', () => loop.read().utilization);
	addGauge('siskinhub_calls_active', 'Requests whose answers are not over.', countActive);
	addGauge('siskinhub_caller_connections', 'Open connections from callers.', countConnections);
	addCounter('siskinhub_closed_caller_connections_total', 'Connections closed because callers took too much: too many connections, too many that sent ahead, or no room for unfinished heads.', 'reason', countClosed);
	addGauge('siskinhub_caller_bytes', 'Bytes that callers\' requests take until their answers are over, with a fixed cost of each; one beyond their bound is refused.', heldBytes);
	addGauge('siskinhub_unparsed_caller_bytes', 'Bytes of heads that have not come whole and of requests sent ahead of answers; beyond their bound, a quarter of that of callers\' requests, the connection that brings more is closed.', unparsedBytes);
	addGauge('siskinhub_answer_bytes', 'Bytes of answers that wait to be passed on, or to be taken by callers.', memory.heldBytes);
	addGauge('siskinhub_upstream_reads_waiting', 'Connections to upstreams whose next bytes wait for a share of the processor time.', reads.gate.countWaiting);
	addCounter('siskinhub_upstream_reads_total', 'Reads from upstreams by size.', 'size', () => reads.counts.reads);
	addCounter('siskinhub_upstream_read_bytes_total', 'Bytes read from upstreams by the size of the read.', 'size', () => reads.counts.bytes);
	addCounter('siskinhub_upstream_read_ms_total', 'Milliseconds of processor time for the bytes of large reads from upstreams.', 'size', () => ({large: reads.counts.largeMs}));
	addCounter('siskinhub_cut_connections_total', 'Connections to upstreams closed because bytes arrived that were no answer, by what was expected.', 'expected', () => reads.counts.cut);
};
