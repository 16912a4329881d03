/**
Type of the settings for sending metrics.
*/

/** Address of the StatsD server, and the prefix of the name of each metric. */
export type MetricsConfig = {
	readonly statsd: {readonly ip: string; readonly port: number};
	readonly prefix: string;
};
