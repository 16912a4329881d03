/**
Tells when a copy holder is short of processor time: its event loop is busy and
what arrives waits. Every quorum with the holder then waits too, so callers see it
as a long preparation at gateways that have time to spare.
*/
import type {Logger} from '@siskinhub/observe/logger.js';
import type {createLoopMonitor} from '../admission/create-loop-monitor.js';
import type {GatewayMetrics} from '../metrics/gateway-metrics.js';

const CHECK_INTERVAL_MS = 1000;
const BUSY_UTILIZATION = 0.9;
const MS_PER_S = 1000;

type ProcessorOptions = {
	readonly loop: Pick<ReturnType<typeof createLoopMonitor>, 'read'>;
	readonly metrics: Pick<GatewayMetrics, 'addGauge'>;
	readonly log: Pick<Logger, 'warn'>;
	readonly signal: AbortSignal;
};

/** At most one line a second, until `signal` aborts. */
export const watchProcessor = ({loop, metrics, log, signal}: ProcessorOptions): void => {
	metrics.addGauge('siskinhub_queue_seconds', 'Recent time until data that has arrived is handled.', () => loop.read().queueMs / MS_PER_S);
	metrics.addGauge('siskinhub_loop_utilization', 'Recent share of the time in which the event loop was busy.', () => loop.read().utilization);
	const timer = setInterval(() => {
		const {queueMs, utilization} = loop.read();
		if (utilization >= BUSY_UTILIZATION) {
			log.warn('copy holder short of processor time', {utilization: Number(utilization.toFixed(2)), queueMs: Math.round(queueMs)});
		}
	}, CHECK_INTERVAL_MS).unref();
	signal.addEventListener('abort', () => {
		clearInterval(timer);
	});
};
