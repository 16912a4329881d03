/**
Describes why a command failed.
*/

/** All fields except `exitCode` are printed by `--json` under `error`. */
export type CommandFailure = {
	readonly code: string;
	/** Printed for the operator: whole sentences, the last of which says what to do next. */
	readonly message: string;
	readonly exitCode: number;
	/** Additional fields for `--json`. */
	readonly details?: Readonly<Record<string, unknown>>;
};
