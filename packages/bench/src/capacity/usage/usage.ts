/**
What a process has used since it started.
*/

/** Bytes count what passed through read and write, sockets and files alike. */
export type Usage = {
	readonly at: number;
	readonly cpuMs: number;
	readonly residentMb: number;
	readonly readBytes: number;
	readonly writtenBytes: number;
};
