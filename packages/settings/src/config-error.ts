/**
Type of an error in a settings file.
*/

/** Where the error is, what was expected there and what was found. */
export type ConfigError = {
	readonly file: string;
	/** Line, from 1; absent if the file could not be read. */
	readonly line?: number;
	/** Dotted path of the setting, such as `peer.port`; empty for the whole file. */
	readonly key: string;
	readonly expected: string;
	/** What was found, usually as JSON; absent if nothing was. */
	readonly found?: string;
};
