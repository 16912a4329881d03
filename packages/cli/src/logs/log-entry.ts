/**
One line of a daemon's log.
*/

/** `file` is where it was read; further fields follow `msg`. */
export type LogEntry = {
	readonly file: string;
	readonly time: string;
	readonly host: string;
	readonly msg: string;
	readonly fields: Readonly<Record<string, unknown>>;
};
