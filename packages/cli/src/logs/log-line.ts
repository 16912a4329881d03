/**
A parsed line of a daemon's log.
*/

/** `file` is the path that the line was read from; `fields` holds the remaining fields of the line. */
export type LogLine = {
	readonly file: string;
	readonly time: string;
	readonly host: string;
	readonly msg: string;
	readonly fields: Readonly<Record<string, unknown>>;
};
