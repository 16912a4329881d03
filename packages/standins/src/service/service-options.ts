/**
Options of a service stand-in.
*/

/** The service's name, delay and crashes; the process takes them from its arguments. */
export type ServiceOptions = {
	/** The service's name in its records. */
	readonly name: string;
	/** Time between an effect and its response, in milliseconds. */
	readonly delayMs: number;
	/** File that records are appended to, so that they survive a crash. */
	readonly recordsFile?: string;
	/** Initial value of the fault `crashOn`: an input that contains this text crashes the service. */
	readonly crashOn?: string;
	/** Called when an input crashes the service. */
	readonly crash: () => void;
};
