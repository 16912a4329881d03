/**
What the system's processes count and measure with.
*/

type Tags = Readonly<Record<string, string>>;

/** Sends metrics; no method throws or waits. */
export type Metrics = {
	readonly increment: (name: string, value?: number, tags?: Tags) => void;
	readonly gauge: (name: string, value: number, tags?: Tags) => void;
	/** A duration in milliseconds. */
	readonly timing: (name: string, durationMs: number, tags?: Tags) => void;
	/** Sends what is buffered. */
	readonly close: () => Promise<void>;
};
