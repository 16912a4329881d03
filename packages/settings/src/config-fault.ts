/**
One fault of a settings file.
*/

/** What is wrong, where, and what was expected there instead. */
export type ConfigFault = {
	readonly file: string;
	/** Line from 1; absent where the file could not be read. */
	readonly line?: number;
	/** Dotted path of the setting, such as `peer.port`; empty for the whole file. */
	readonly key: string;
	readonly expected: string;
	/** What stands there, as JSON; absent where nothing does. */
	readonly found?: string;
};
