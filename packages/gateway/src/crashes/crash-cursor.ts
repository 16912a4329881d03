/**
How far a link has been told of the notes of a tracker.
*/

/** Each part is the sequence of the last note that was told; only the tracker that issued it can read it. */
export type CrashCursor = {
	readonly repeated: number;
	readonly single: number;
	readonly answered: number;
};
