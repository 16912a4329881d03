/**
The resources that a process used in a time window.
*/

/** Mean rates over the window, and the resident memory at its end. */
export type UsageRate = {
	readonly cpuMsPerS: number;
	readonly readBytesPerS: number;
	readonly writtenBytesPerS: number;
	readonly residentMb: number;
};
