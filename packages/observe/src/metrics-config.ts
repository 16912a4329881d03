/**
Where metrics go.
*/

/** The StatsD server, and the text before each metric's name. */
export type MetricsConfig = {
	readonly statsd: {readonly ip: string; readonly port: number};
	readonly prefix: string;
};
