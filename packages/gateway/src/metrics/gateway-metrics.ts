/**
What forwarding counts and measures.
*/

/** No method throws or waits. */
export type GatewayMetrics = {
	readonly countCall: (outcome: string, status: number, durationMs: number) => void;
	readonly countAttempt: (end: string) => void;
	readonly countStoreCall: (kind: string, outcome: string) => void;
	/** All values as text, in the format of Prometheus. */
	readonly render: () => Promise<string>;
};
