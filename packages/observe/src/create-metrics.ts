/**
Creates the StatsD client for metrics with the library hot-shots, which is loaded
only if the settings have a section for metrics.
*/
import type {Metrics} from './metrics.js';
import type {MetricsConfig} from './metrics-config.js';

type MetricsOptions = {
	readonly metrics?: MetricsConfig;
	readonly host: string;
	readonly dataCentre: string;
	/** Called when sending fails. */
	readonly onError?: (error: Error) => void;
};

// Below the smallest MTU in common use, so that no datagram is fragmented.
const MAX_DATAGRAM_BYTES = 1200;
const FLUSH_INTERVAL_MS = 1000;

const doNothing = () => undefined;

const NOOP_METRICS: Metrics = {
	increment: doNothing,
	gauge: doNothing,
	timing: doNothing,
	async close() {
		return undefined;
	},
};

/** Returns a client that sends metrics, or one that does nothing if `metrics` is absent. */
export const createMetrics = async ({metrics, host, dataCentre, onError = doNothing}: MetricsOptions): Promise<Metrics> => {
	if (!metrics) {
		return NOOP_METRICS;
	}

	const {StatsD} = await import('hot-shots');
	const client = new StatsD({
		host: metrics.statsd.ip,
		port: metrics.statsd.port,
		prefix: metrics.prefix,
		globalTags: {host, dataCentre},
		includeDataDogTags: false,
		maxBufferSize: MAX_DATAGRAM_BYTES,
		bufferFlushInterval: FLUSH_INTERVAL_MS,
		errorHandler: onError,
	});
	return {
		increment(name, value = 1, tags = {}) {
			client.increment(name, value, tags);
		},
		gauge(name, value, tags = {}) {
			client.gauge(name, value, tags);
		},
		timing(name, durationMs, tags = {}) {
			client.timing(name, durationMs, tags);
		},
		async close() {
			return new Promise(resolve => {
				client.close(() => {
					resolve();
				});
			});
		},
	};
};
