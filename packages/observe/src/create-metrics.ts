/**
Metrics by hot-shots, which is loaded only where the settings ask for metrics.
*/
import type {Metrics} from './metrics.js';
import type {MetricsConfig} from './metrics-config.js';

type MetricsOptions = {
	readonly metrics?: MetricsConfig;
	readonly host: string;
	readonly dataCentre: string;
	/** Receives failures to send. */
	readonly onError?: (error: Error) => void;
};

// Below the smallest MTU in common use, so that no datagram is split.
const MAX_DATAGRAM_BYTES = 1200;
const FLUSH_INTERVAL_MS = 1000;

const doNothing = () => undefined;

const NO_METRICS: Metrics = {
	increment: doNothing,
	gauge: doNothing,
	timing: doNothing,
	async close() {
		return undefined;
	},
};

/** Builds the sender of metrics; without `metrics` in the settings it does nothing. */
export const createMetrics = async ({metrics, host, dataCentre, onError = doNothing}: MetricsOptions): Promise<Metrics> => {
	if (!metrics) {
		return NO_METRICS;
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
