/**
How a stand-in service is set up.
*/

/** Everything that the server's arguments say. */
export type ServiceOptions = {
	/** The service's name in its records. */
	readonly name: string;
	/** Time between an effect and its answer, in milliseconds. */
	readonly delayMs: number;
	/** File to which records are appended, so that they survive a crash. */
	readonly recordsFile?: string;
	/** Text in an input that crashes the service from the start. */
	readonly crashOn?: string;
	/** Called when an input crashes the service. */
	readonly crash: () => void;
};
