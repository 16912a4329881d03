/**
What the daemons count and measure.
*/
import type {UpstreamLoad} from '../placement/upstream-load.js';

/** No method throws or waits. */
export type GatewayMetrics = {
	readonly countCall: (outcome: string, status: number, durationMs: number) => void;
	readonly countAttempt: (end: string) => void;
	readonly countStoreCall: (kind: string, outcome: string) => void;
	/** An upstream was chosen; `prompt` tells how much of a prompt it is believed to hold, in tokens. */
	readonly countChoice: (chosen: UpstreamLoad, prompt: {readonly held: number; readonly missing: number} | undefined) => void;
	/** A request has what it needs before its first upstream, or is refused for lack of it, after `waitMs`. */
	readonly observePreparation: (outcome: string, waitMs: number) => void;
	/** Reads a value whenever the metrics are asked for. */
	readonly watch: (name: string, help: string, read: () => number) => void;
	/** All values as text, in the format of Prometheus. */
	readonly render: () => Promise<string>;
};
