/**
The resources that a process has used since it started.
*/

/** Byte counts cover all read and write calls, on sockets as well as files. */
export type Usage = {
	/** Time of the reading, in milliseconds of `performance.now()`. */
	readonly at: number;
	readonly cpuMs: number;
	readonly residentMb: number;
	readonly readBytes: number;
	readonly writtenBytes: number;
};
