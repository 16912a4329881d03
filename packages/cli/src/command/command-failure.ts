/**
Why a command did not do what it was asked.
*/

/** What the operator reads, and what `--json` prints under `error`. */
export type CommandFailure = {
	readonly code: string;
	/** Whole sentences that end with what to do next. */
	readonly message: string;
	readonly exitCode: number;
	/** Further fields for `--json`. */
	readonly details?: Readonly<Record<string, unknown>>;
};
