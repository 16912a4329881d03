/**
Type of the client that sends metrics.
*/

type Tags = Readonly<Record<string, string>>;

/** Sends metrics; no method throws or blocks. */
export type Metrics = {
	readonly increment: (name: string, value?: number, tags?: Tags) => void;
	readonly gauge: (name: string, value: number, tags?: Tags) => void;
	/** Records a duration in milliseconds. */
	readonly timing: (name: string, durationMs: number, tags?: Tags) => void;
	/** Sends the buffered metrics. */
	readonly close: () => Promise<void>;
};
